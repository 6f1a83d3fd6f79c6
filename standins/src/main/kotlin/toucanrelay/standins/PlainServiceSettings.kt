package toucanrelay.standins

/**
 * How a [PlainService] behaves.
 *
 * @property host IP number to listen on.
 * @property port port to listen on; 0 for any free one.
 * @property delayMilliseconds time that each call takes.
 * @property concurrency calls that run at once; others wait.
 * @property streamChunkMilliseconds time between two chunks of `/stream/{chunks}`.
 */
public data class PlainServiceSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val delayMilliseconds: Long = 0,
    public val concurrency: Int = 16,
    public val streamChunkMilliseconds: Long = 5,
)
