package toucanrelay.store

/** Why a call to the platform gave no answer to build on. */
public sealed interface PlatformError {
    /** What happened, for logs and messages. */
    public val detail: String

    /**
     * Proved that the platform did not take the call: the connection was refused or the platform said so.
     *
     * @property detail what happened.
     */
    public data class NotTaken(
        override val detail: String,
    ) : PlatformError

    /**
     * No answer came; a write may have taken effect.
     *
     * @property detail what happened.
     */
    public data class AnswerLost(
        override val detail: String,
    ) : PlatformError

    /**
     * The row is not in the state that the write asked for; nothing was written.
     *
     * @property detail what happened.
     */
    public data class Conflict(
        override val detail: String,
    ) : PlatformError
}
