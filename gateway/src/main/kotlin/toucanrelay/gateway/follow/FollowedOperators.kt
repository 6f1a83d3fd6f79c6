package toucanrelay.gateway.follow

import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.target.TargetPool
import toucanrelay.platform.OperatorEntry
import toucanrelay.platform.OperatorTable

/** Applies the configuration and the failure domains that are out of service. */
internal class FollowedOperators(
    private val register: ConfigurationRegister,
    private val pool: TargetPool,
    private val log: EventLog,
    private val onChange: () -> Unit,
) : FollowedTable {
    /** Whether the newest configuration cannot be read, so that no one knows whether the current one still holds. */
    private var isNewestUnreadable = false
    private val mayConfirm: Boolean
        get() = register.current != null && !isNewestUnreadable

    override val name = "operators"
    override val nameInStore = OperatorTable.NAME
    override val isUrgent: Boolean
        get() = register.current == null

    override fun apply(change: TableChange) {
        val entries = OperatorTable.decode(change.rows)
        val configurations = entries.filterIsInstance<OperatorEntry.NewConfiguration>()
        configurations.forEach { applyConfiguration(it) }
        if (OperatorTable.hasConfiguration(change.rows)) recordReadable(configurations.isNotEmpty())
        applyFailureDomains(entries.filterIsInstance<OperatorEntry.FailureDomainStatus>(), change.isWhole)
        if (mayConfirm) change.confirmedAtMilliseconds?.let { register.confirm(it) }
    }

    override fun recordOutageEnd(agoMilliseconds: Long) = Unit

    override fun recordMissedRows() = Unit

    private fun recordReadable(isReadable: Boolean) {
        isNewestUnreadable = !isReadable
        if (isNewestUnreadable) log.write("configuration-unreadable", "inForce" to register.current?.version)
    }

    private fun applyConfiguration(entry: OperatorEntry.NewConfiguration) {
        val configuration = entry.configuration
        val isNewer = register.offer(configuration)
        log.write(
            if (isNewer) "configuration-in-force" else "configuration-ignored",
            "version" to configuration.version,
            "routes" to configuration.routes.size,
            "organisations" to configuration.organisations?.size,
        )
    }

    private fun applyFailureDomains(changes: List<OperatorEntry.FailureDomainStatus>, isWhole: Boolean) {
        val previous = if (isWhole) emptySet() else pool.domainsOutOfService
        val added = changes.filter { it.isOutOfService }.map { it.failureDomain }
        val removed = changes.filter { !it.isOutOfService }.map { it.failureDomain }
        val next = (previous + added - removed.toSet()).toPersistentSet()
        if (next == pool.domainsOutOfService) return
        pool.domainsOutOfService = next
        onChange()
        log.write("failure-domains-out-of-service", "failureDomains" to next.joinToString(","))
    }
}
