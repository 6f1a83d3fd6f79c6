package toucanrelay.daemon.fleet

import toucanrelay.core.identity.OrganisationId

/** Counts the service that was given at this process only. */
internal class LocalLedger(
    private val bundles: BundleRegister,
) : ServiceLedger {
    private val served = mutableMapOf<OrganisationId, Double>()

    @Synchronized
    override fun charge(organisation: OrganisationId, units: Double) {
        val share =
            bundles.current.value
                ?.organisations
                ?.get(organisation)
                ?.share ?: return
        served.merge(organisation, units / share, Double::plus)
    }

    @Synchronized
    override fun virtualTime(organisation: OrganisationId): Double = served[organisation] ?: 0.0

    override fun activate(organisation: OrganisationId) = Unit

    override fun deactivate(organisation: OrganisationId) = Unit
}
