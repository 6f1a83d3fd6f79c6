package toucanrelay.gateway.follow

import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.target.TargetRegistry
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.RegistrationChange
import toucanrelay.platform.StoreRow
import toucanrelay.platform.TargetTable

/** Follows the registrations of targets. */
internal class FollowedTargets(
    private val register: TargetRegistry,
    private val log: EventLog,
    private val onChange: () -> Unit,
) : FollowedTable {
    override val name = "targets"
    override val nameInStore = TargetTable.NAME
    override val isUrgent: Boolean
        get() = register.currentTargets().isEmpty()

    override fun take(rows: List<StoreRow>, isWhole: Boolean, confirmedAtMilliseconds: Long) {
        val entries = TargetTable.decode(rows)
        val registered = entries.filterIsInstance<RegistrationChange.Registered>().map { it.registration }
        registered.forEach { logNews(it) }
        if (isWhole) register.replaceAll(registered) else takeChanges(entries)
        if (entries.isNotEmpty()) onChange()
    }

    override fun noteOutageEnded(agoMilliseconds: Long) {
        register.recordOutageEnd(agoMilliseconds)
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
}
