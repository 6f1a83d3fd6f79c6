package toucanrelay.gateway.dispatch

import toucanrelay.core.allowance.FleetRateLimit
import toucanrelay.core.allowance.StatedLimits
import toucanrelay.core.backoff.TargetBackoffs
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.target.ServingTarget
import toucanrelay.gateway.target.Target

/**
 * Decides how much of what a target takes from the whole fleet this process may use: requests per second of a target
 * that is cold or states a limit, and connections; nothing while the target asks for a back-off. Confined to the event
 * loop.
 */
internal class TargetAllowances(
    private val self: InstanceId,
    private val clock: Clock,
    private val fleet: FleetView,
    private val demand: ServiceDemand,
    private val statedLimits: StatedLimits,
    private val backoffs: TargetBackoffs,
) {
    /** Returns whether this process may open another connection to [serving] within its part of the connections. */
    fun hasConnection(serving: ServingTarget, service: ServiceSettings): Boolean =
        serving.target.load.requests < maxOf(1, service.maxConnections / fleet.size)

    /** Returns whether the rate of requests to [serving] is limited now. */
    fun isPaced(serving: ServingTarget, service: ServiceSettings): Boolean {
        updateRate(serving, service)
        return serving.target.pacing.isLimited
    }

    /** Returns the time for which [target] has asked for no request; zero if it accepts requests. */
    fun backoffMilliseconds(target: Target): Long = backoffs.remainingMilliseconds(target.id, target.incarnation)

    /** Returns whether this process may send a request to [serving] now: its part of the rate, and after a back-off. */
    fun maySend(serving: ServingTarget, service: ServiceSettings): Boolean {
        val target = serving.target
        if (!backoffs.maySend(target.id, target.incarnation)) return false
        updateRate(serving, service)
        return target.pacing.pacer.maySend()
    }

    /** Records that a request was placed on [target]. */
    fun recordPlaced(target: Target) {
        target.pacing.pacer.recordSent()
        backoffs.recordSent(target.id, target.incarnation)
    }

    private fun updateRate(serving: ServingTarget, service: ServiceSettings) {
        serving.target.pacing.update(limitsOf(serving, service), self) {
            fleet.demands(service.name, demand.perSecond(service.name))
        }
    }

    private fun limitsOf(serving: ServingTarget, service: ServiceSettings): List<FleetRateLimit> {
        val stated = statedLimits.find(serving.target.id, serving.target.incarnation)
        val isCold = clock.nowMilliseconds() < serving.registered.coldUntilMilliseconds
        val cold = service.coldRequestsPerSecond?.takeIf { isCold }
        if (stated == null && cold == null) return emptyList()
        return listOfNotNull(
            stated?.let { FleetRateLimit(maxOf(it, MIN_STATED_PER_SECOND), STATED_WINDOW_MILLISECONDS) },
            cold?.let { FleetRateLimit(it, COLD_WINDOW_MILLISECONDS) },
        )
    }

    private companion object {
        const val STATED_WINDOW_MILLISECONDS = 4_000L
        const val COLD_WINDOW_MILLISECONDS = 1_000L

        /** Only an answer shows that a limit has ended, so a target that states zero is asked now and then. */
        const val MIN_STATED_PER_SECOND = 0.2
    }
}
