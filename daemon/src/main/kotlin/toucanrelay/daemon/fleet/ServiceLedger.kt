package toucanrelay.daemon.fleet

import toucanrelay.core.identity.OrganisationId

/** The service that each organisation received in the whole fleet, in service units per unit of share. */
public interface ServiceLedger {
    /** Charges [units] service units to [organisation]; a negative value corrects an earlier charge. */
    public fun charge(organisation: OrganisationId, units: Double)

    /** Returns the virtual time of [organisation] in the fleet, as far as known to this process. */
    public fun virtualTime(organisation: OrganisationId): Double

    /**
     * Records that [organisation] has waiting work here.
     *
     * If it had no waiting work anywhere in the fleet, its virtual time is lifted to the system virtual time, so that
     * it accumulates no credit while idle.
     */
    public fun activate(organisation: OrganisationId)

    /** Records that [organisation] has no waiting work here any more. */
    public fun deactivate(organisation: OrganisationId)
}
