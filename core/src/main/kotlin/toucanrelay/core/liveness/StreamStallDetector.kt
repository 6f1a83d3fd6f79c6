package toucanrelay.core.liveness

/**
 * Progress of a stream as reported by its target over a separate connection.
 *
 * @property lastEventId id of the last event that the target has generated.
 * @property isFinished whether the target has generated the whole stream.
 */
public data class StreamProgress(
    public val lastEventId: Long,
    public val isFinished: Boolean,
)

/** Answer of a target to a probe for the progress of a stream. */
public sealed interface ProbeAnswer {
    /** The target has the stream. */
    public data class Known(
        public val progress: StreamProgress,
    ) : ProbeAnswer

    /** The target does not have the stream. */
    public data object Unknown : ProbeAnswer

    /** The target did not answer. */
    public data object None : ProbeAnswer
}

/** Diagnosis of a connection on which nothing arrives. */
public enum class StreamVerdict {
    /** The target has generated nothing new; keep waiting. */
    WAITING,

    /** Probe again soon: a single probe is not conclusive, as events that were generated may still be in transit. */
    SUSPECT,

    /** The connection is dead although the target has generated more. */
    DEAD,

    /** The target has lost the stream, or the target is unreachable. */
    LOST,
}

/**
 * Distinguishes a dead connection from a slow target by probing the target over a new connection.
 *
 * Use one detector per connection and call [recordProgress] when something arrives on it.
 */
public class StreamStallDetector {
    private var stalledProbes = 0
    private var unknownProbes = 0
    private var unansweredProbes = 0

    /** Records that something arrived over the monitored connection. */
    public fun recordProgress() {
        stalledProbes = 0
        unknownProbes = 0
        unansweredProbes = 0
    }

    /** Evaluates the [answer] to a probe; [receivedEventId] is the last event of the stream that arrived. */
    public fun evaluate(answer: ProbeAnswer, receivedEventId: Long): StreamVerdict =
        when (answer) {
            is ProbeAnswer.Known -> {
                evaluate(answer.progress, receivedEventId)
            }

            ProbeAnswer.Unknown -> {
                if (++unknownProbes >= CONFIRMING_PROBES) StreamVerdict.LOST else StreamVerdict.SUSPECT
            }

            ProbeAnswer.None -> {
                if (++unansweredProbes >=
                    MAX_UNANSWERED_PROBES
                ) {
                    StreamVerdict.LOST
                } else {
                    StreamVerdict.SUSPECT
                }
            }
        }

    private fun evaluate(progress: StreamProgress, receivedEventId: Long): StreamVerdict {
        unknownProbes = 0
        unansweredProbes = 0
        if (progress.lastEventId <= receivedEventId && !progress.isFinished) {
            stalledProbes = 0
            return StreamVerdict.WAITING
        }
        stalledProbes += 1
        return if (stalledProbes >= CONFIRMING_PROBES) StreamVerdict.DEAD else StreamVerdict.SUSPECT
    }

    private companion object {
        /** Probes that must agree, because a single probe may overtake events that the target has just sent. */
        const val CONFIRMING_PROBES = 2
        const val MAX_UNANSWERED_PROBES = 4
    }
}
