package toucanrelay.core.target

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.time.Clock

/**
 * Tracks the targets that are registered with the platform.
 *
 * Once a run of a target is leaving it remains so, even if an older registration arrives later or its registration is
 * removed and returns. Registrations may expire while the store is unavailable and are renewed after the outage. A
 * removal seen shortly after an outage therefore takes effect only if the registration is still missing after
 * [expiryGraceMilliseconds].
 *
 * @param expiryGraceMilliseconds delay before a removal that may result from a store outage takes effect.
 */
public class TargetRegistry(
    private val clock: Clock,
    private val expiryGraceMilliseconds: Long,
) {
    private var targets = persistentMapOf<TargetId, RegisteredTarget>()
    private var outageEndedAtMilliseconds: Long? = null
    private var pendingRemovals = 0
    private val removedRuns = RecentRuns(MAX_REMEMBERED_RUNS)
    private val leavingRuns = RecentRuns(MAX_REMEMBERED_RUNS)
    private var servingLists = HashMap<ServingKey, List<RegisteredTarget>>()

    /** The software versions of [targets]; null until they are asked for. */
    private var versions: Set<ServiceVersion>? = null

    private data class ServingKey(
        val service: String,
        val excludedDomains: Set<FailureDomainId>,
    )

    /** Whether registrations may have expired while the store was unavailable and not be renewed yet. */
    public val mayMissRegistrations: Boolean
        get() = mayHaveExpired(clock.nowMilliseconds())

    /** Returns all targets that may still exist, including leaving ones. */
    public fun currentTargets(): ImmutableMap<TargetId, RegisteredTarget> {
        if (pendingRemovals > 0) {
            val now = clock.nowMilliseconds()
            replace(targets.filterValues { !isRemoved(it, now) }.toPersistentMap())
        }
        return targets
    }

    /** Returns the target [id], or null if it is unknown or removed. */
    public fun find(id: TargetId): RegisteredTarget? = targets[id]?.takeIf { !isRemoved(it, clock.nowMilliseconds()) }

    /** Adds or updates a registration; one from an earlier run than the known one is ignored. */
    public fun register(registration: TargetRegistration) {
        val known = targets[registration.id]
        if (known != null && registration.incarnation < known.registration.incarnation) return
        val sameRun = known?.takeIf { it.registration.incarnation == registration.incarnation }
        if (registration.isLeaving) leavingRuns.record(registration.id, registration.incarnation)
        val now = clock.nowMilliseconds()
        val registered =
            RegisteredTarget(
                registration,
                isLeaving =
                    sameRun?.isLeaving == true || leavingRuns.contains(registration.id, registration.incarnation),
                coldUntilMilliseconds = now + registration.coldMilliseconds,
                removedAtMilliseconds = null,
            )
        replace(targets.put(registration.id, registered))
    }

    /** Removes the registration of [id], after the grace period if it may have expired during an outage. */
    public fun remove(id: TargetId) {
        val known = targets[id] ?: return
        val now = clock.nowMilliseconds()
        if (known.isLeaving || !mayHaveExpired(now)) {
            replace(targets.remove(id))
        } else if (known.removedAtMilliseconds == null) {
            replace(targets.put(id, known.copy(removedAtMilliseconds = now)))
        }
    }

    /** Replaces all registrations with [registrations], a complete snapshot. */
    public fun replaceAll(registrations: List<TargetRegistration>) {
        val registeredIds = registrations.map { it.id }.toSet()
        targets.keys.filter { it !in registeredIds }.forEach { remove(it) }
        registrations.forEach { register(it) }
    }

    /** Records that an outage of the store ended [agoMilliseconds] ago. */
    public fun recordOutageEnd(agoMilliseconds: Long = 0) {
        val endedAt = clock.nowMilliseconds() - agoMilliseconds
        outageEndedAtMilliseconds = maxOf(endedAt, outageEndedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /**
     * Marks the run [incarnation] of [id] as leaving, whether it is registered or not.
     *
     * Returns whether it is registered and was not known to be leaving.
     */
    public fun markLeaving(id: TargetId, incarnation: Incarnation): Boolean {
        val known = targets[id]
        if (known != null && known.registration.incarnation > incarnation) return false
        leavingRuns.record(id, incarnation)
        if (known == null || known.registration.incarnation != incarnation || known.isLeaving) return false
        replace(targets.put(id, known.copy(isLeaving = true)))
        return true
    }

    /** Returns the targets of [service] that may receive new requests while [excludedDomains] are out of service. */
    public fun serving(service: String, excludedDomains: Set<FailureDomainId>): List<RegisteredTarget> {
        val current = currentTargets()
        return servingLists.getOrPut(ServingKey(service, excludedDomains)) {
            current.values.filter { target ->
                target.registration.service == service &&
                    !target.isLeaving &&
                    target.registration.failureDomain !in excludedDomains
            }
        }
    }

    /** Returns whether the run [incarnation] of [id] was removed a short time ago. */
    public fun wasRemoved(id: TargetId, incarnation: Incarnation): Boolean = removedRuns.contains(id, incarnation)

    /** Returns the software versions of the registered targets, including leaving ones. */
    public fun registeredVersions(): Set<ServiceVersion> {
        val current = currentTargets()
        return versions ?: current.values.mapTo(HashSet()) { it.registration.serviceVersion }.also { versions = it }
    }

    /** Returns whether a target of [version] is registered, also a leaving one. */
    public fun isRegistered(version: ServiceVersion): Boolean = version in registeredVersions()

    private fun replace(next: PersistentMap<TargetId, RegisteredTarget>) {
        if (next === targets) return
        (targets.keys - next.keys).forEach { rememberRemoved(targets.getValue(it).registration) }
        targets = next
        pendingRemovals = next.values.count { it.removedAtMilliseconds != null }
        servingLists.clear()
        versions = null
    }

    private fun rememberRemoved(registration: TargetRegistration) {
        removedRuns.record(registration.id, registration.incarnation)
        if (registration.incarnation == UNREPORTED) leavingRuns.forget(registration.id)
    }

    private fun mayHaveExpired(now: Long): Boolean =
        outageEndedAtMilliseconds?.let { now - it <= expiryGraceMilliseconds } ?: false

    private fun isRemoved(target: RegisteredTarget, now: Long): Boolean =
        target.removedAtMilliseconds?.let { now - it > expiryGraceMilliseconds } ?: false

    private companion object {
        const val MAX_REMEMBERED_RUNS = 1_000

        /** Runs of a target that does not report them are only told apart by the removal of its registration. */
        val UNREPORTED = Incarnation(0)
    }
}
