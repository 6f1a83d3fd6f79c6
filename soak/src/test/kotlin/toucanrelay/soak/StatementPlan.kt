package toucanrelay.soak

import kotlin.random.Random

/**
 * A span in which the target with index [target] says in its answers that it is leaving, and after which it restarts.
 * The store says nothing of it.
 */
internal data class PlannedLeaving(
    val startMilliseconds: Long,
    val target: Int,
    val durationMilliseconds: Long,
)

/** A span in which the target with index [target] refuses all requests with a back-off, given as [retryAfter]. */
internal data class PlannedRefusal(
    val startMilliseconds: Long,
    val target: Int,
    val durationMilliseconds: Long,
    val retryAfter: String,
)

/** Draws for a seed what targets say of themselves in their answers; times count from the start of the load. */
internal class StatementPlan(
    seed: Long,
) {
    private val random = Random(seed)

    /** When targets are leaving. */
    val leavings: List<PlannedLeaving> =
        List(LEAVINGS) {
            PlannedLeaving(
                random.nextLong(MIN_START_MILLISECONDS, MAX_START_MILLISECONDS),
                random.nextInt(FaultPlan.GATEWAYS),
                random.nextLong(MIN_LEAVING_MILLISECONDS, MAX_LEAVING_MILLISECONDS),
            )
        }

    /** When targets refuse requests. */
    val refusals: List<PlannedRefusal> =
        List(REFUSALS) {
            PlannedRefusal(
                random.nextLong(MIN_START_MILLISECONDS, MAX_START_MILLISECONDS),
                random.nextInt(FaultPlan.GATEWAYS),
                random.nextLong(MIN_REFUSAL_MILLISECONDS, MAX_REFUSAL_MILLISECONDS),
                RETRY_AFTER.random(random),
            )
        }

    private companion object {
        const val LEAVINGS = 2
        const val REFUSALS = 6
        const val MIN_START_MILLISECONDS = 300L
        const val MAX_START_MILLISECONDS = 8_000L
        const val MIN_LEAVING_MILLISECONDS = 2_800L
        const val MAX_LEAVING_MILLISECONDS = 4_000L
        const val MIN_REFUSAL_MILLISECONDS = 100L
        const val MAX_REFUSAL_MILLISECONDS = 1_500L
        val RETRY_AFTER = listOf("1", "2", "3", "0.7", "0", "-1", "soon", "Fri, 04 Dec 2026 07:28:00 GMT")
    }
}
