package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.identity.OrganisationId

/**
 * Virtual times of the organisations at a single entry, by start-time fair queueing.
 *
 * Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
 */
public class VirtualTimes {
    private var times: PersistentMap<OrganisationId, Double> = persistentMapOf()
    private var active: PersistentSet<OrganisationId> = persistentSetOf()
    private var floor = 0.0

    /** Returns the virtual time of [organisation]. */
    public fun timeOf(organisation: OrganisationId): Double = maxOf(times[organisation] ?: floor, 0.0)

    /** Charges [units] of service to [organisation], which has the weight [share]. */
    public fun charge(organisation: OrganisationId, units: Double, share: Double) {
        require(share > 0) { "share must be positive, was $share" }
        times = times.put(organisation, timeOf(organisation) + units / share)
    }

    /**
     * Marks [organisation] as having waiting requests.
     *
     * Raises its virtual time to the lowest of the other active organisations, so that idle time earns no credit.
     */
    public fun activate(organisation: OrganisationId) {
        if (organisation in active) return
        floor = active.minOfOrNull { timeOf(it) }?.let { maxOf(floor, it) } ?: floor
        times = times.put(organisation, maxOf(timeOf(organisation), floor))
        active = active.add(organisation)
    }

    /** Marks [organisation] as having no waiting requests. */
    public fun deactivate(organisation: OrganisationId) {
        active = active.remove(organisation)
        if (active.isEmpty()) floor = maxOf(floor, timeOf(organisation))
    }
}
