package toucanrelay.soak

import kotlin.random.Random

/** Faults that the soak test injects from outside the gateway processes. */
internal enum class FaultKind {
    /** Sends SIGKILL to a gateway and restarts it. */
    KILL_GATEWAY,

    /** Sends SIGTERM to a gateway and restarts it. */
    STOP_GATEWAY,

    /** Sends SIGSTOP to a gateway, and SIGCONT when the fault ends. */
    PAUSE_GATEWAY,

    /** Closes a gateway's connections to the store and refuses new ones. */
    CUT_STORE_LINK,

    /** Stops the traffic on a gateway's connections to the store, including new ones. */
    SILENCE_STORE_LINK,

    /** Delays the traffic between a gateway and the store. */
    DELAY_STORE_LINK,

    /** Makes the store refuse all requests. */
    REFUSE_STORE,

    /** Makes the store process requests without answering them. */
    LOSE_STORE_ANSWERS,

    /** Closes the connections to a target. */
    BREAK_TARGET_CONNECTIONS,

    /** Permanently stops the traffic on the open connections to a target; new connections work. */
    SILENCE_TARGET_CONNECTIONS,
}

/**
 * A scheduled fault.
 *
 * @property startMilliseconds start, counted from the start of the load.
 * @property index index of the gateway or target that the fault affects.
 */
internal data class Fault(
    val startMilliseconds: Long,
    val kind: FaultKind,
    val index: Int,
    val durationMilliseconds: Long,
) {
    val endMilliseconds: Long
        get() = startMilliseconds + durationMilliseconds
}

/** Draws the faults for a seed; they may overlap and repeat. */
internal class FaultPlan(
    seed: Long,
) {
    private val random = Random(seed)

    /** The faults, ordered by start time. */
    val faults: List<Fault> = List(FAULTS) { randomFault() }.sortedBy { it.startMilliseconds }

    private fun randomFault() =
        Fault(
            startMilliseconds = random.nextLong(MIN_START_MILLISECONDS, MAX_START_MILLISECONDS),
            kind = FaultKind.entries.random(random),
            index = random.nextInt(GATEWAYS),
            durationMilliseconds = random.nextLong(MIN_DURATION_MILLISECONDS, MAX_DURATION_MILLISECONDS),
        )

    internal companion object {
        /** Number of gateways in a run, and of targets. */
        const val GATEWAYS = 3

        /** Returns the index of the gateway that the call [id] was sent to. */
        fun gatewayOf(id: String): Int = id.substringAfterLast('-').toInt()

        /** Duration of the load; every fault ends before. */
        const val LOAD_MILLISECONDS = 12_000L
        private const val FAULTS = 6
        private const val MIN_START_MILLISECONDS = 500L
        private const val MAX_START_MILLISECONDS = 7_500L
        private const val MIN_DURATION_MILLISECONDS = 400L
        private const val MAX_DURATION_MILLISECONDS = 3_500L
    }
}
