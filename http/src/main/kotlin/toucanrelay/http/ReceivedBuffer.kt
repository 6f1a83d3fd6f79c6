package toucanrelay.http

import io.netty.buffer.ByteBuf
import toucanrelay.core.http.ReceivedBytes

/** The readable bytes of [buffer] when this is created. */
public class ReceivedBuffer(
    private val buffer: ByteBuf,
) : ReceivedBytes {
    private val offset = buffer.readerIndex()

    override val size: Int = buffer.readableBytes()

    override fun indexOfLineFeed(start: Int): Int {
        val index = buffer.indexOf(offset + start, offset + size, LINE_FEED)
        return if (index < 0) index else index - offset
    }

    override fun text(start: Int, end: Int): String = buffer.toString(offset + start, end - start, Charsets.ISO_8859_1)

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
