package toucanrelay.store

/** Reason why a call to the platform failed. */
public sealed interface PlatformError {
    /** Description of the failure, for logs and messages. */
    public val detail: String

    /**
     * The platform did not execute the call: there was no connection, or the response states a refusal.
     *
     * @property detail description of the failure.
     */
    public data class NotExecuted(
        override val detail: String,
    ) : PlatformError

    /**
     * There is no usable response; a write may have taken effect.
     *
     * @property detail description of the failure.
     */
    public data class OutcomeUnknown(
        override val detail: String,
    ) : PlatformError

    /**
     * The precondition of a write does not hold; nothing was written.
     *
     * @property detail description of the failure.
     */
    public data class Conflict(
        override val detail: String,
    ) : PlatformError
}
