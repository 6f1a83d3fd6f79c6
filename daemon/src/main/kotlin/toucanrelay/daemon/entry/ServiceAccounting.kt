package toucanrelay.daemon.entry

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.queue.OrderingPolicy
import toucanrelay.core.queue.VirtualTimes
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.ServiceLedger

/** Charges service to the fleet's ledger and provides the policy by which organisations are ordered. */
internal class ServiceAccounting(
    private val ledger: ServiceLedger,
    private val bundles: BundleRegister,
    private val ordering: EntryOrdering,
) {
    private val own = VirtualTimes()

    /** Orders the organisations with waiting requests. */
    val policy: OrderingPolicy =
        when (ordering) {
            EntryOrdering.FLEET_VIRTUAL_TIME -> OrderingPolicy.byVirtualTime(ledger::virtualTime)
            EntryOrdering.OWN_VIRTUAL_TIME -> OrderingPolicy.byVirtualTime { synchronized(own) { own.timeOf(it) } }
            EntryOrdering.FIRST_COME_FIRST_SERVED -> OrderingPolicy.firstComeFirstServed
        }

    /** Returns the share to report with a rank; practically unlimited when ranks do not depend on shares. */
    fun reportedShare(organisation: OrganisationId): Double =
        if (ordering == EntryOrdering.FIRST_COME_FIRST_SERVED) UNLIMITED_SHARE else shareOf(organisation)

    fun charge(organisation: OrganisationId, units: Double) {
        if (units == 0.0) return
        ledger.charge(organisation, units)
        synchronized(own) { own.charge(organisation, units, shareOf(organisation)) }
    }

    fun activate(organisation: OrganisationId) {
        ledger.activate(organisation)
        synchronized(own) { own.activate(organisation) }
    }

    fun deactivate(organisation: OrganisationId) {
        ledger.deactivate(organisation)
        synchronized(own) { own.deactivate(organisation) }
    }

    private fun shareOf(organisation: OrganisationId): Double =
        bundles.current.value
            ?.organisations
            ?.get(organisation)
            ?.share ?: DEFAULT_SHARE

    private companion object {
        const val DEFAULT_SHARE = 1.0
        const val UNLIMITED_SHARE = 1e12
    }
}
