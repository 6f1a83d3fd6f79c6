package toucanrelay.core.liveness

/**
 * Heartbeat interval and silence timeout of a link.
 *
 * @property intervalMilliseconds time between two heartbeats, and between two checks for silence.
 * @property silenceMilliseconds time without messages after which the link is considered dead; several intervals, so
 * that one late heartbeat does not close the link.
 */
public data class HeartbeatSettings(
    public val intervalMilliseconds: Long = 1_000,
    public val silenceMilliseconds: Long = 3_000,
) {
    init {
        require(intervalMilliseconds > 0) { "intervalMilliseconds must be positive: $intervalMilliseconds ms" }
        require(silenceMilliseconds >= 2 * intervalMilliseconds) {
            "silenceMilliseconds must be at least two intervals: $silenceMilliseconds ms"
        }
    }

    /** Maximum time from the peer's last message until a check reports the link as silent. */
    public val detectionMilliseconds: Long
        get() = silenceMilliseconds + intervalMilliseconds
}
