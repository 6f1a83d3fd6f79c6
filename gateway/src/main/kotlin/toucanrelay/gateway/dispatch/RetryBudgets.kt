package toucanrelay.gateway.dispatch

import toucanrelay.core.retry.FleetRetryBudget
import toucanrelay.core.retry.RetryBudgetSettings
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.settings.Bounds

/** This process's shares of the fleet's retry budgets, one for each service. */
internal class RetryBudgets(
    private val clock: Clock,
    private val bounds: () -> Bounds,
    private val fleet: FleetView,
) {
    private val budgets = HashMap<String, FleetRetryBudget>()

    /** Number of processes that share the budgets. */
    val fleetSize: Int
        get() = fleet.size

    /** Returns the retry budget of [service], with the bounds that are in force. */
    fun forService(service: String): FleetRetryBudget {
        val settings = settings()
        return budgets.getOrPut(service) { FleetRetryBudget(clock, settings) }.also { it.settings = settings }
    }

    private fun settings(): RetryBudgetSettings {
        val bounds = bounds()
        val window = (bounds.retryWindowSeconds * MILLISECONDS_PER_SECOND).toLong()
        return RetryBudgetSettings(bounds.retryRatio, bounds.retryReserve, window)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
