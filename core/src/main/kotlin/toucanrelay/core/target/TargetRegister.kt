package toucanrelay.core.target

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.Clock

/**
 * The targets that are registered with the platform.
 *
 * Once a run of a target leaves, it stays leaving, whatever older registrations say that arrive later. Registrations
 * that lapse while the store is away come back when it does: removals seen shortly after an outage count only when
 * the registration is still missing after [lapseGraceMilliseconds].
 *
 * @param clock the time.
 * @param lapseGraceMilliseconds how long a removal waits that may come from an outage of the store.
 */
public class TargetRegister(
    private val clock: Clock,
    private val lapseGraceMilliseconds: Long,
) {
    private var targets = persistentMapOf<TargetId, RegisteredTarget>()
    private var outageEndedAtMilliseconds: Long? = null
    private var lapsing = 0
    private var servingLists = HashMap<ServingKey, List<RegisteredTarget>>()

    private data class ServingKey(
        val service: String,
        val excludedDomains: Set<FailureDomainId>,
    )

    /** All targets that may still be there, leaving ones among them. */
    public fun present(): ImmutableMap<TargetId, RegisteredTarget> {
        if (lapsing > 0) {
            val now = clock.nowMilliseconds()
            replace(targets.filterValues { !isGone(it, now) }.toPersistentMap())
        }
        return targets
    }

    /** The target [id], if it may still be there. */
    public fun find(id: TargetId): RegisteredTarget? = targets[id]?.takeIf { !isGone(it, clock.nowMilliseconds()) }

    /** Takes a new or changed registration; one of an earlier run than the known one is ignored. */
    public fun register(registration: TargetRegistration) {
        val known = targets[registration.id]
        if (known != null && registration.incarnation < known.registration.incarnation) return
        val sameRun = known?.takeIf { it.registration.incarnation == registration.incarnation }
        val now = clock.nowMilliseconds()
        val registered =
            RegisteredTarget(
                registration,
                isLeaving = registration.isLeaving || sameRun?.isLeaving == true,
                coldUntilMilliseconds = now + registration.coldMilliseconds,
                removedAtMilliseconds = null,
            )
        replace(targets.put(registration.id, registered))
    }

    /** Notes that the registration of [id] was removed. */
    public fun remove(id: TargetId) {
        val known = targets[id] ?: return
        val now = clock.nowMilliseconds()
        if (known.isLeaving || !mayHaveLapsed(now)) {
            replace(targets.remove(id))
        } else if (known.removedAtMilliseconds == null) {
            replace(targets.put(id, known.copy(removedAtMilliseconds = now)))
        }
    }

    /** Replaces everything by [registrations], which are all that stand at one moment. */
    public fun replaceAll(registrations: List<TargetRegistration>) {
        val standing = registrations.map { it.id }.toSet()
        targets.keys.filter { it !in standing }.forEach { remove(it) }
        registrations.forEach { register(it) }
    }

    /** Notes that the store answered again after an outage, [agoMilliseconds] ago. */
    public fun noteOutageEnded(agoMilliseconds: Long = 0) {
        val endedAt = clock.nowMilliseconds() - agoMilliseconds
        outageEndedAtMilliseconds = maxOf(endedAt, outageEndedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** Notes that another target answers at the address of [id], so that its run has ended. */
    public fun noteReplaced(id: TargetId, incarnation: Incarnation) {
        val known = targets[id] ?: return
        if (known.registration.incarnation == incarnation) replace(targets.put(id, known.copy(isLeaving = true)))
    }

    /** The targets of [service] that may get new work while [excludedDomains] are out of service. */
    public fun serving(service: String, excludedDomains: Set<FailureDomainId>): List<RegisteredTarget> {
        val present = present()
        return servingLists.getOrPut(ServingKey(service, excludedDomains)) {
            present.values.filter { target ->
                target.registration.service == service &&
                    !target.isLeaving &&
                    target.registration.failureDomain !in excludedDomains
            }
        }
    }

    private fun replace(next: PersistentMap<TargetId, RegisteredTarget>) {
        if (next === targets) return
        targets = next
        lapsing = next.values.count { it.removedAtMilliseconds != null }
        servingLists.clear()
    }

    private fun mayHaveLapsed(now: Long): Boolean =
        outageEndedAtMilliseconds?.let { now - it <= lapseGraceMilliseconds } ?: false

    private fun isGone(target: RegisteredTarget, now: Long): Boolean =
        target.removedAtMilliseconds?.let { now - it > lapseGraceMilliseconds } ?: false
}
