package toucanrelay.soak

import kotlin.random.Random

/** Trouble that the soak makes from outside of the gateways. */
internal enum class FaultKind {
    /** SIGKILL of a gateway, which is started again. */
    KILL_GATEWAY,

    /** SIGTERM of a gateway, which is started again. */
    STOP_GATEWAY,

    /** SIGSTOP of a gateway, and SIGCONT at the end. */
    PAUSE_GATEWAY,

    /** A gateway's connections to the store are cut, and new ones are refused. */
    CUT_STORE_LINK,

    /** A gateway's connections to the store go silent, new ones too. */
    SILENCE_STORE_LINK,

    /** A gateway's answers of the store are late. */
    DELAY_STORE_LINK,

    /** The store refuses all calls. */
    REFUSE_STORE,

    /** The store acts and loses its answers. */
    LOSE_STORE_ANSWERS,

    /** The connections to a target are closed. */
    BREAK_TARGET_CONNECTIONS,

    /** The connections to a target go silent for good, and new ones work. */
    SILENCE_TARGET_CONNECTIONS,
}

/**
 * One fault.
 *
 * @property index which gateway or target, counted around.
 */
internal data class Fault(
    val atMilliseconds: Long,
    val kind: FaultKind,
    val index: Int,
    val forMilliseconds: Long,
) {
    val endsAtMilliseconds: Long
        get() = atMilliseconds + forMilliseconds
}

/** The faults of one seed: some overlap, and the same may come again. */
internal class FaultPlan(
    seed: Long,
) {
    private val random = Random(seed)

    /** The faults in the order in which they begin. */
    val faults: List<Fault> = List(FAULTS) { draw() }.sortedBy { it.atMilliseconds }

    private fun draw() =
        Fault(
            atMilliseconds = random.nextLong(FIRST_MILLISECONDS, LAST_MILLISECONDS),
            kind = FaultKind.entries.random(random),
            index = random.nextInt(GATEWAYS),
            forMilliseconds = random.nextLong(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS),
        )

    internal companion object {
        /** Gateways of a run; targets are as many. */
        const val GATEWAYS = 3

        /** When the faults are over. */
        const val END_MILLISECONDS = 12_000L
        private const val FAULTS = 6
        private const val FIRST_MILLISECONDS = 500L
        private const val LAST_MILLISECONDS = 7_500L
        private const val SHORTEST_MILLISECONDS = 400L
        private const val LONGEST_MILLISECONDS = 3_500L
    }
}
