package toucanrelay.core.liveness

/**
 * How far a target says that it has come with a stream, asked over a connection of its own.
 *
 * @property lastEventId the last event that the target has generated.
 * @property isFinished whether the stream is whole.
 */
public data class StreamProgress(
    public val lastEventId: Long,
    public val isFinished: Boolean,
)

/** What a target answered to the question how far a stream has come. */
public sealed interface ProbeAnswer {
    /** The target knows the stream. */
    public data class Known(
        public val progress: StreamProgress,
    ) : ProbeAnswer

    /** The target does not know the stream. */
    public data object Unknown : ProbeAnswer

    /** No answer came. */
    public data object None : ProbeAnswer
}

/** What to make of a connection over which nothing comes. */
public enum class StreamVerdict {
    /** The target has nothing new; go on waiting. */
    WAITING,

    /** Ask again soon: what the target has may be on its way. */
    SUSPECT,

    /** The connection is dead while the target has more. */
    DEAD,

    /** The target has lost the stream, or nobody can reach the target. */
    LOST,
}

/**
 * Tells a dead connection from a slow target by what the target says over a new connection.
 *
 * One instance watches one connection; [progressed] is called when something arrives on it.
 */
public class StreamWatch {
    private var suspicions = 0
    private var unknowns = 0
    private var silentProbes = 0

    /** Notes that something arrived over the watched connection. */
    public fun progressed() {
        suspicions = 0
        unknowns = 0
        silentProbes = 0
    }

    /** Judges the [answer] of a target of whose stream [receivedEventId] is the last event that arrived. */
    public fun judge(answer: ProbeAnswer, receivedEventId: Long): StreamVerdict =
        when (answer) {
            is ProbeAnswer.Known -> {
                judge(answer.progress, receivedEventId)
            }

            ProbeAnswer.Unknown -> {
                if (++unknowns >= PROBES_TO_BE_SURE) StreamVerdict.LOST else StreamVerdict.SUSPECT
            }

            ProbeAnswer.None -> {
                if (++silentProbes >=
                    PROBES_WITHOUT_ANSWER
                ) {
                    StreamVerdict.LOST
                } else {
                    StreamVerdict.SUSPECT
                }
            }
        }

    private fun judge(progress: StreamProgress, receivedEventId: Long): StreamVerdict {
        unknowns = 0
        silentProbes = 0
        if (progress.lastEventId <= receivedEventId && !progress.isFinished) {
            suspicions = 0
            return StreamVerdict.WAITING
        }
        suspicions += 1
        return if (suspicions >= PROBES_TO_BE_SURE) StreamVerdict.DEAD else StreamVerdict.SUSPECT
    }

    private companion object {
        /** A single probe may overtake what the target has just sent. */
        const val PROBES_TO_BE_SURE = 2
        const val PROBES_WITHOUT_ANSWER = 4
    }
}
