package toucanrelay.gateway.follow

import com.github.michaelbull.result.Result
import toucanrelay.core.target.TargetRegister
import toucanrelay.core.target.TargetRegistration
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.RegistrationChange
import toucanrelay.platform.Snapshot
import toucanrelay.platform.StoreError
import toucanrelay.platform.TargetTable

/** Follows the registrations of targets. */
internal class FollowedTargets(
    private val table: TargetTable,
    private val register: TargetRegister,
    private val log: EventLog,
    private val onChange: () -> Unit,
) : FollowedTable<RegistrationChange> {
    override val name = "targets"
    override val waitMilliseconds = 0L

    /** A process that knows no target yet cannot serve, so it asks again soon. */
    override val pauseMilliseconds: Long
        get() = if (register.present().isEmpty()) PAUSE_WITHOUT_TARGETS_MILLISECONDS else PAUSE_MILLISECONDS

    override suspend fun read(): Result<Snapshot<RegistrationChange>, StoreError> = table.read()

    override suspend fun changes(
        version: Long,
        waitMilliseconds: Long,
    ): Result<Snapshot<RegistrationChange>, StoreError> = table.changes(version, waitMilliseconds)

    override fun take(entries: List<RegistrationChange>, isWhole: Boolean, askedAtMilliseconds: Long) {
        val registered = entries.filterIsInstance<RegistrationChange.Registered>().map { it.registration }
        registered.forEach { logNews(it) }
        if (isWhole) register.replaceAll(registered) else takeChanges(entries)
        if (entries.isNotEmpty()) onChange()
    }

    override fun noteRegained(outageMilliseconds: Long) {
        register.noteOutageEnded()
    }

    private fun takeChanges(entries: List<RegistrationChange>) {
        entries.forEach { change ->
            when (change) {
                is RegistrationChange.Registered -> register.register(change.registration)
                is RegistrationChange.Removed -> remove(change)
            }
        }
    }

    private fun remove(change: RegistrationChange.Removed) {
        register.remove(change.id)
        log.write("target-removed", "target" to change.id, "stillKnown" to (register.find(change.id) != null))
    }

    private fun logNews(registration: TargetRegistration) {
        val known = register.find(registration.id)
        val isNew = known == null || known.registration.incarnation != registration.incarnation
        if (!isNew && known?.isLeaving == registration.isLeaving) return
        log.write(
            if (registration.isLeaving) "target-leaving" else "target-registered",
            "target" to registration.id,
            "service" to registration.service,
            "failureDomain" to registration.failureDomain,
            "incarnation" to registration.incarnation,
            "coldMs" to registration.coldMilliseconds,
        )
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 800L
        const val PAUSE_WITHOUT_TARGETS_MILLISECONDS = 150L
    }
}
