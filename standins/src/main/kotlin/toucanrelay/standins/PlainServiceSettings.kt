package toucanrelay.standins

/**
 * Settings of a [PlainService].
 *
 * @property host IP address to listen on.
 * @property port port to listen on; 0 picks a free port.
 * @property delayMilliseconds duration of each call.
 * @property concurrency maximum number of concurrent calls; further calls wait.
 * @property streamChunkMilliseconds time between two chunks of `/stream/{chunks}`.
 */
public data class PlainServiceSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val delayMilliseconds: Long = 0,
    public val concurrency: Int = 16,
    public val streamChunkMilliseconds: Long = 5,
)
