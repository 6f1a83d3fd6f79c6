package toucanrelay.daemon.fleet

import toucanrelay.core.identity.OrganisationId

/** Service that each organisation received over the fleet, in service units per unit of share. */
public interface ServiceLedger {
    /** Adds [units] of service given to [organisation] here; negative to correct an earlier charge. */
    public fun charge(organisation: OrganisationId, units: Double)

    /** The organisation's virtual time over the fleet as far as it is known here. */
    public fun virtualTime(organisation: OrganisationId): Double

    /** Notes that [organisation] has work waiting again: its virtual time is lifted so that idleness banks no credit. */
    public fun activate(organisation: OrganisationId)

    /** Notes that [organisation] has no work waiting here any more. */
    public fun deactivate(organisation: OrganisationId)
}
