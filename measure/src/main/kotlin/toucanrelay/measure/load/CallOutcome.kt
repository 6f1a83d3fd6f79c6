package toucanrelay.measure.load

/** The outcome of a call as seen by its caller. */
public sealed interface CallOutcome {
    /** The complete answer arrived, with each event once and in order. */
    public data object Complete : CallOutcome

    /**
     * The call was refused before the answer started.
     *
     * @property status HTTP status.
     * @property reason last segment of the problem document's type; the HTTP status if the type is absent.
     * @property executed member `executed` of the problem document; empty if absent.
     * @property retryAfterMilliseconds delay before a retry, from the Retry-After header; null if absent.
     */
    public data class Refused(
        public val status: Int,
        public val reason: String,
        public val executed: String,
        public val retryAfterMilliseconds: Long?,
    ) : CallOutcome

    /**
     * The answer ended with an error event.
     *
     * @property detail reason from the error event.
     */
    public data class Failed(
        public val detail: String,
    ) : CallOutcome

    /**
     * The connection failed, or closed before the end of the answer without an error event.
     *
     * @property detail cause of the disconnect.
     */
    public data class Disconnected(
        public val detail: String,
    ) : CallOutcome

    /**
     * Events were lost, duplicated or reordered.
     *
     * @property detail first event that is out of order.
     */
    public data class Corrupt(
        public val detail: String,
    ) : CallOutcome
}
