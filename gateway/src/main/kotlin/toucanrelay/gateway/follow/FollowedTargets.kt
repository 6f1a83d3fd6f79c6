package toucanrelay.gateway.follow

import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.target.TargetRegistry
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.RegistrationChange
import toucanrelay.platform.TargetTable

/**
 * Applies the registrations of targets.
 *
 * @param onMissed called when targets may have been registered and removed again unseen.
 */
internal class FollowedTargets(
    private val registry: TargetRegistry,
    private val log: EventLog,
    private val onMissed: () -> Unit,
    private val onChange: () -> Unit,
) : FollowedTable {
    override val name = NAME
    override val nameInStore = TargetTable.NAME
    override val isUrgent: Boolean
        get() = registry.currentTargets().isEmpty()

    override fun apply(change: TableChange) {
        val (restored, written) = change.rows.partition { change.isRestored(it) }
        val entries = TargetTable.decode(written) + TargetTable.decode(restored).filter { !isGone(it) }
        val registered = entries.filterIsInstance<RegistrationChange.Registered>().map { it.registration }
        registered.forEach { logRegistration(it) }
        if (change.isWhole) registry.replaceAll(registered) else applyChanges(entries)
        if (entries.isNotEmpty()) onChange()
    }

    /** Returns whether [change] registers a run of a target whose removal this process has seen. */
    private fun isGone(change: RegistrationChange): Boolean =
        change is RegistrationChange.Registered &&
            registry.wasRemoved(change.registration.id, change.registration.incarnation)

    override fun recordOutageEnd(agoMilliseconds: Long) {
        registry.recordOutageEnd(agoMilliseconds)
    }

    override fun recordMissedRows() {
        log.write("registrations-missed")
        onMissed()
    }

    private fun applyChanges(entries: List<RegistrationChange>) {
        entries.forEach { change ->
            when (change) {
                is RegistrationChange.Registered -> registry.register(change.registration)
                is RegistrationChange.Removed -> remove(change)
            }
        }
    }

    private fun remove(change: RegistrationChange.Removed) {
        registry.remove(change.id)
        log.write("target-removed", "target" to change.id, "stillKnown" to (registry.find(change.id) != null))
    }

    private fun logRegistration(registration: TargetRegistration) {
        val known = registry.find(registration.id)
        val isNew = known == null || known.registration.incarnation != registration.incarnation
        if (!isNew && known?.isLeaving == registration.isLeaving) return
        log.write(
            if (registration.isLeaving) "target-leaving" else "target-registered",
            "target" to registration.id,
            "service" to registration.service,
            "version" to registration.version,
            "failureDomain" to registration.failureDomain,
            "incarnation" to registration.incarnation,
            "coldMs" to registration.coldMilliseconds,
        )
    }

    companion object {
        /** The table's name in logs and between members. */
        const val NAME = "targets"
    }
}
