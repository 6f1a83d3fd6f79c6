package toucanrelay.gateway.dispatch

import toucanrelay.core.retry.FleetRetryBudget
import toucanrelay.core.retry.RetryBudgetSettings
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.settings.Bounds

/** This process's parts of the fleet's retry budgets, one for each service. */
internal class RetryBudgets(
    private val clock: Clock,
    private val bounds: () -> Bounds,
    private val fleet: FleetView,
) {
    private val budgets = HashMap<String, FleetRetryBudget>()

    /** Processes that share the budgets. */
    val instances: Int
        get() = fleet.size

    /** The budget for retries to [service]. */
    fun of(service: String): FleetRetryBudget = budgets.getOrPut(service) { FleetRetryBudget(clock, terms()) }

    private fun terms(): RetryBudgetSettings {
        val bounds = bounds()
        val window = (bounds.retryWindowSeconds * MILLISECONDS_IN_A_SECOND).toLong()
        return RetryBudgetSettings(bounds.retryRatio, bounds.retryReserve, window)
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
    }
}
