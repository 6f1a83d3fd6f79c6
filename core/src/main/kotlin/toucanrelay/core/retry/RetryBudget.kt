package toucanrelay.core.retry

/**
 * Limits retries to a fraction of live traffic, so that retries do not add load to a failing fleet.
 *
 * @param ratio retries allowed per new request.
 * @param reserve initial and maximum balance of retries; allows retries without any traffic.
 */
public class RetryBudget(
    private val ratio: Double = 0.1,
    private val reserve: Double = 20.0,
) {
    private var balance = reserve

    /** Credits the budget for a new request. */
    public fun deposit() {
        balance = minOf(reserve, balance + ratio)
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public fun withdraw(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
