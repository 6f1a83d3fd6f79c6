package toucanrelay.measure.load

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * How one attempt at an order ended.
 *
 * @property status HTTP status; 0 when the connection failed.
 * @property reason last part of the problem document's type; empty when there is none.
 * @property executed the problem document's member `executed`; empty when there is none.
 */
public data class OrderAttempt(
    public val status: Int,
    public val reason: String = "",
    public val executed: String = "",
) {
    /** Whether the caller was told that the order ran. */
    public val isSuccess: Boolean
        get() = status in 200..299

    /** Whether the caller was told that this attempt did not run. */
    public val saysNotRun: Boolean
        get() = executed == "no"
}

/**
 * What an order book shows when it is held against what the services counted.
 *
 * @property orders orders that were placed.
 * @property attempts attempts at them.
 * @property succeeded orders that a caller was told ran.
 * @property ranTwice orders that ran more than once.
 * @property falseNo orders of which an attempt ran although every attempt said that it did not run.
 * @property falseSuccess orders that a caller was told ran and that did not.
 */
public data class OrderAudit(
    public val orders: Int,
    public val attempts: Int,
    public val succeeded: Int,
    public val ranTwice: Int,
    public val falseNo: Int,
    public val falseSuccess: Int,
)

/** Every attempt at every order, by idempotency key. */
public class OrderBook {
    private val attempts = ConcurrentHashMap<String, MutableList<OrderAttempt>>()

    /** Notes an attempt at the order [idempotencyKey]. */
    public fun note(idempotencyKey: String, attempt: OrderAttempt) {
        attempts.computeIfAbsent(idempotencyKey) { CopyOnWriteArrayList() } += attempt
    }

    /** Attempts by how they ended. */
    public fun attemptsByOutcome(): Map<String, Int> =
        attempts.values
            .flatten()
            .groupingBy { if (it.isSuccess) "succeeded" else "${it.status} ${it.reason} (executed: ${it.executed})" }
            .eachCount()
            .toSortedMap()

    /** Holds the book against [runs], the number of times that an order ran. */
    public fun audit(runs: (String) -> Int): OrderAudit =
        OrderAudit(
            orders = attempts.size,
            attempts = attempts.values.sumOf { it.size },
            succeeded = attempts.count { (_, made) -> made.any { it.isSuccess } },
            ranTwice = attempts.keys.count { runs(it) > 1 },
            falseNo = attempts.count { (key, made) -> runs(key) > made.count { !it.saysNotRun } },
            falseSuccess = attempts.count { (key, made) -> runs(key) == 0 && made.any { it.isSuccess } },
        )
}
