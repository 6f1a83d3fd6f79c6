package toucanrelay.core.retry

/**
 * Bounds retries to a part of live traffic, so that a failing fleet is not loaded further by retries.
 *
 * @param ratio retries allowed for each new request.
 * @param reserve retries allowed with no traffic at all, and the most that quiet times may save up.
 */
public class RetryBudget(
    private val ratio: Double = 0.1,
    private val reserve: Double = 20.0,
) {
    private var balance = reserve

    /** Notes a new request. */
    public fun deposit() {
        balance = minOf(reserve, balance + ratio)
    }

    /** Takes one retry from the budget; false when there is none left. */
    public fun withdraw(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
