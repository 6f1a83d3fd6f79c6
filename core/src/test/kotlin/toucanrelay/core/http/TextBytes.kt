package toucanrelay.core.http

/** Bytes given as text, one character each. */
internal class TextBytes(
    private val text: String,
) : ReceivedBytes {
    override val size: Int = text.length

    override fun indexOfLineFeed(start: Int): Int = text.indexOf('\n', start)

    override fun text(start: Int, end: Int): String = text.substring(start, end)
}
