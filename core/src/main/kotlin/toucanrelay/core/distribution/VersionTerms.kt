package toucanrelay.core.distribution

/**
 * Time constants of the version gate.
 *
 * @property pauseLimitMilliseconds a process that shows no sign of life for longer counts as paused.
 * @property bufferedMessagesMilliseconds time after a pause in which peers' messages may date from before it.
 */
public data class VersionTerms(
    public val pauseLimitMilliseconds: Long = 5_000,
    public val bufferedMessagesMilliseconds: Long = 1_000,
)
