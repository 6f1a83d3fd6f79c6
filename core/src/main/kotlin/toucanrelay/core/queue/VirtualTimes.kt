package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.identity.OrganisationId

/**
 * Virtual times of the organisations at one entry alone, by start-time fair queueing.
 *
 * Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
 */
public class VirtualTimes {
    private var times: PersistentMap<OrganisationId, Double> = persistentMapOf()
    private var active: PersistentSet<OrganisationId> = persistentSetOf()
    private var floor = 0.0

    /** The virtual time of [organisation]. */
    public fun of(organisation: OrganisationId): Double = maxOf(times[organisation] ?: floor, 0.0)

    /** Adds [units] of service to an organisation with this [share]. */
    public fun charge(organisation: OrganisationId, units: Double, share: Double) {
        require(share > 0) { "a share is positive: $share" }
        times = times.put(organisation, of(organisation) + units / share)
    }

    /** Lifts [organisation] to the least virtual time of those with work, so that idleness banks no credit. */
    public fun activate(organisation: OrganisationId) {
        if (organisation in active) return
        floor = active.minOfOrNull { of(it) }?.let { maxOf(floor, it) } ?: floor
        times = times.put(organisation, maxOf(of(organisation), floor))
        active = active.add(organisation)
    }

    /** Notes that [organisation] has no work waiting. */
    public fun deactivate(organisation: OrganisationId) {
        active = active.remove(organisation)
        if (active.isEmpty()) floor = maxOf(floor, of(organisation))
    }
}
