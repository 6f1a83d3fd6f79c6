package toucanrelay.core.distribution

/**
 * Time limits of the [VersionGate].
 *
 * @property pauseLimitMilliseconds gap between two calls beyond which the process counts as paused.
 * @property bufferedMessagesMilliseconds time after a pause during which messages of peers may date from before it.
 */
public data class VersionGateSettings(
    public val pauseLimitMilliseconds: Long = 5_000,
    public val bufferedMessagesMilliseconds: Long = 1_000,
)
