package toucanrelay.soak

import kotlin.random.Random

/**
 * A series of changes of a gateway's settings, counted from the start of the load.
 *
 * @property gateway index of the gateway.
 * @property isSignalled whether each change is told by SIGHUP.
 */
internal data class PlannedReloads(
    val startMilliseconds: Long,
    val gateway: Int,
    val isSignalled: Boolean,
    val changes: Int,
)

/** Draws for a seed when the settings of gateways change; callers must not notice. */
internal class ReloadPlan(
    seed: Long,
) {
    private val random = Random(seed)

    /** The series, some of which overlap with faults and with each other. */
    val series: List<PlannedReloads> =
        List(SERIES) {
            PlannedReloads(
                startMilliseconds = random.nextLong(MAX_START_MILLISECONDS),
                gateway = random.nextInt(FaultPlan.GATEWAYS),
                isSignalled = random.nextBoolean(),
                changes = random.nextInt(1, MAX_CHANGES + 1),
            )
        }

    internal companion object {
        /** Time between two changes of a series. */
        const val GAP_MILLISECONDS = 60L

        /** Number of changes while a gateway starts. */
        const val CHANGES_DURING_START = 20
        private const val SERIES = 6
        private const val MAX_START_MILLISECONDS = 9_000L
        private const val MAX_CHANGES = 12
    }
}
