package toucanrelay.core.liveness

/**
 * How often the two ends of a link send heartbeats, and when silence means that the link is dead.
 *
 * @property intervalMilliseconds time between two heartbeats, and between two checks for silence.
 * @property silenceMilliseconds silence after which the link is dead; several intervals, so that one late heartbeat
 * does not end a link.
 */
public data class HeartbeatTerms(
    public val intervalMilliseconds: Long = 1_000,
    public val silenceMilliseconds: Long = 3_000,
) {
    init {
        require(intervalMilliseconds > 0) { "the interval must be positive: $intervalMilliseconds ms" }
        require(silenceMilliseconds >= 2 * intervalMilliseconds) {
            "the silence must span two intervals or more: $silenceMilliseconds ms"
        }
    }

    /** The longest time from the peer's last message until a check finds the link silent. */
    public val detectionMilliseconds: Long
        get() = silenceMilliseconds + intervalMilliseconds
}
