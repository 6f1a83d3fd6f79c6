package toucanrelay.measure.load

/** How a call ended for its caller. */
public sealed interface CallOutcome {
    /** The answer came whole, with every event once and in order. */
    public data object Whole : CallOutcome

    /**
     * The call was refused before it began.
     *
     * @property status HTTP status.
     * @property reason last part of the problem document's type; the status when there is none.
     * @property executed the problem document's member `executed`; empty when there is none.
     * @property retryAfterMilliseconds when to try again; null when the answer does not say.
     */
    public data class Refused(
        public val status: Int,
        public val reason: String,
        public val executed: String,
        public val retryAfterMilliseconds: Long?,
    ) : CallOutcome

    /**
     * The answer broke off and said so by an error event.
     *
     * @property detail the error event.
     */
    public data class BrokenOff(
        public val detail: String,
    ) : CallOutcome

    /**
     * The connection failed or closed early without a word.
     *
     * @property detail what happened.
     */
    public data class Cut(
        public val detail: String,
    ) : CallOutcome

    /**
     * Events were lost, doubled or crossed.
     *
     * @property detail the event that did not fit.
     */
    public data class Corrupt(
        public val detail: String,
    ) : CallOutcome
}
