package toucanrelay.measure.load

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * The outcome of one attempt to place an order.
 *
 * @property status HTTP status; 0 when the connection failed.
 * @property reason last segment of the problem document's type; empty if absent.
 * @property executed member `executed` of the problem document; empty if absent.
 */
public data class OrderAttempt(
    public val status: Int,
    public val reason: String = "",
    public val executed: String = "",
) {
    /** Whether the answer reports that the order was executed. */
    public val isSuccess: Boolean
        get() = status in 200..299

    /** Whether the answer reports that this attempt was not executed. */
    public val reportsNotExecuted: Boolean
        get() = executed == "no"
}

/**
 * Result of comparing the answers that callers got with the executions that the services counted.
 *
 * @property orders number of orders.
 * @property attempts number of attempts at all orders.
 * @property succeeded orders with at least one successful attempt.
 * @property ranTwice orders that were executed more than once.
 * @property falseRefusals orders executed more often than their answers allow, so that an attempt was executed although
 *   its answer reported that it was not.
 * @property falseSuccesses orders with a successful attempt that were never executed.
 */
public data class OrderAudit(
    public val orders: Int,
    public val attempts: Int,
    public val succeeded: Int,
    public val ranTwice: Int,
    public val falseRefusals: Int,
    public val falseSuccesses: Int,
)

/** Records every attempt at every order, by idempotency key. */
public class OrderLog {
    private val attempts = ConcurrentHashMap<String, MutableList<OrderAttempt>>()

    /** Records an attempt at the order [idempotencyKey]. */
    public fun record(idempotencyKey: String, attempt: OrderAttempt) {
        attempts.computeIfAbsent(idempotencyKey) { CopyOnWriteArrayList() } += attempt
    }

    /** Counts the attempts by outcome. */
    public fun attemptsByOutcome(): Map<String, Int> =
        attempts.values
            .flatten()
            .groupingBy { if (it.isSuccess) "succeeded" else "${it.status} ${it.reason} (executed: ${it.executed})" }
            .eachCount()
            .toSortedMap()

    /** Compares the attempts with [runs], which returns how often an order was executed. */
    public fun audit(runs: (String) -> Int): OrderAudit =
        OrderAudit(
            orders = attempts.size,
            attempts = attempts.values.sumOf { it.size },
            succeeded = attempts.count { (_, made) -> made.any { it.isSuccess } },
            ranTwice = attempts.keys.count { runs(it) > 1 },
            falseRefusals = attempts.count { (key, made) -> runs(key) > made.count { !it.reportsNotExecuted } },
            falseSuccesses = attempts.count { (key, made) -> runs(key) == 0 && made.any { it.isSuccess } },
        )
}
