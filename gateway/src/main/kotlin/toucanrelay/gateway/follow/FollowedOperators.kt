package toucanrelay.gateway.follow

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.target.TargetPool
import toucanrelay.platform.OperatorEntry
import toucanrelay.platform.OperatorTable
import toucanrelay.platform.Snapshot
import toucanrelay.platform.StoreError

/** Follows configurations and failure domains that are out of service. */
internal class FollowedOperators(
    private val table: OperatorTable,
    private val register: ConfigurationRegister,
    private val pool: TargetPool,
    private val log: EventLog,
) : FollowedTable<OperatorEntry> {
    override val name = "operators"
    override val waitMilliseconds = 1_500L
    override val pauseMilliseconds = 0L

    override suspend fun read(): Result<Snapshot<OperatorEntry>, StoreError> = table.read()

    override suspend fun changes(version: Long, waitMilliseconds: Long): Result<Snapshot<OperatorEntry>, StoreError> =
        table.changes(version, waitMilliseconds)

    override fun take(entries: List<OperatorEntry>, isWhole: Boolean, askedAtMilliseconds: Long) {
        entries.filterIsInstance<OperatorEntry.NewConfiguration>().forEach { take(it) }
        takeDomains(entries.filterIsInstance<OperatorEntry.FailureDomainService>(), isWhole)
        if (register.current != null) register.confirm(askedAtMilliseconds)
    }

    override fun noteRegained(outageMilliseconds: Long) = Unit

    private fun take(entry: OperatorEntry.NewConfiguration) {
        val configuration = entry.configuration
        val isNewer = register.offer(configuration)
        log.write(
            if (isNewer) "configuration-in-force" else "configuration-ignored",
            "version" to configuration.version,
            "routes" to configuration.routes.size,
            "organisations" to configuration.organisations.size,
        )
    }

    private fun takeDomains(changes: List<OperatorEntry.FailureDomainService>, isWhole: Boolean) {
        val standing = if (isWhole) emptySet() else pool.domainsOutOfService
        val added = changes.filter { it.isOutOfService }.map { it.failureDomain }
        val removed = changes.filter { !it.isOutOfService }.map { it.failureDomain }
        val next = (standing + added - removed.toSet()).toPersistentSet()
        if (next == pool.domainsOutOfService) return
        pool.domainsOutOfService = next
        log.write("failure-domains-out-of-service", "failureDomains" to next.joinToString(","))
    }
}
