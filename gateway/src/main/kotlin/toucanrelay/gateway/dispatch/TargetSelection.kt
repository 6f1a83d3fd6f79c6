package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.target.TargetCondition
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.stream.StreamMemory
import toucanrelay.gateway.target.ServingTarget
import toucanrelay.gateway.target.TargetPool

/**
 * Selects the targets that a request may be placed on, whatever it costs there.
 *
 * @param regionOf returns the region of a failure domain by the settings in force.
 */
internal class TargetSelection(
    private val regionOf: (FailureDomainId) -> RegionId?,
    private val pool: TargetPool,
    private val allowances: TargetAllowances,
    private val quarantine: CrashQuarantine,
    private val streamMemory: StreamMemory,
) {
    /** Returns the targets in service that may serve [query]. */
    fun allowed(query: PlacementQuery): List<ServingTarget> =
        beginningTargets(
            pool.serving(query.request.service).filter { query.request.allows(regionOf(it)) && query.allows(it) },
            query,
        )

    private fun PlacementQuery.allows(serving: ServingTarget): Boolean =
        version == null || version == serving.registered.registration.version

    /** Returns the targets of [serving] whose versions may begin streams, if [query] is for a new one. */
    private fun beginningTargets(serving: List<ServingTarget>, query: PlacementQuery): List<ServingTarget> {
        val mayBeginAnywhere = query.version != null || query.request.route.kind != RouteKind.STREAMING
        if (mayBeginAnywhere) return serving
        val versions = streamMemory.beginningVersions(serving.map { it.registered.registration.serviceVersion })
        return serving.filter { it.registered.registration.serviceVersion in versions }
    }

    /**
     * Returns the targets of [serving] at whose addresses nothing crashed on a suspect of [request]; all if there are
     * none.
     *
     * Crashes at several addresses tell sooner whether the request is their cause or one of the targets is.
     */
    fun preferUnharmed(serving: List<ServingTarget>, request: CallerRequest): List<ServingTarget> {
        if (!quarantine.hasEvidence) return serving
        val crashAddresses = quarantine.crashAddresses(request.suspects)
        return serving.filter { it.registered.registration.address !in crashAddresses }.ifEmpty { serving }
    }

    /** Returns the targets of [serving] that can accept a request now, sound ones if any is. */
    fun usable(serving: List<ServingTarget>, service: ServiceSettings): List<ServingTarget> {
        val withCapacity = serving.filter { hasCapacity(it, service) }
        val healthy = withCapacity.filter { isHealthy(it) }
        return healthy.ifEmpty { if (serving.none { isSound(it) }) withCapacity else healthy }
    }

    private fun isSound(serving: ServingTarget) = serving.target.health.condition == TargetCondition.SOUND

    private fun isHealthy(serving: ServingTarget): Boolean =
        when (serving.target.health.condition) {
            TargetCondition.SOUND -> true
            TargetCondition.ON_TRIAL -> serving.target.load.requests == 0
            TargetCondition.SUSPECTED -> false
        }

    /** Returns whether only a limited rate keeps a request from being sent to [serving] now. */
    fun isOpen(serving: ServingTarget, service: ServiceSettings): Boolean =
        allowances.hasConnection(serving, service) &&
            isHealthy(serving) &&
            allowances.backoffMilliseconds(serving.target) == 0L

    private fun hasCapacity(serving: ServingTarget, service: ServiceSettings): Boolean =
        allowances.hasConnection(serving, service) && allowances.maySend(serving, service)

    private fun regionOf(serving: ServingTarget) = regionOf(serving.registered.registration.failureDomain)
}
