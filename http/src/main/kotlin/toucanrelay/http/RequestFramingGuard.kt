package toucanrelay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.vertx.core.http.HttpConnection
import toucanrelay.core.http.FramingFault
import toucanrelay.core.http.MessageHead
import toucanrelay.core.http.MessageReader
import toucanrelay.core.http.RequestFraming

/**
 * Passes the bytes of a caller's connection on to the decoder of requests only as far as it is certain where each
 * request ends.
 *
 * A request whose head leaves that in doubt reaches the server as an invalid one whose cause is [DoubtfulFraming]; nothing
 * that follows it on the connection is read as a request. Confined to the event loop of the connection.
 */
public class RequestFramingGuard private constructor(
    private val onBodyFault: (DoubtfulBody) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var reader = newReader()

    /** Number of requests whose heads were passed on. */
    private var requests = 0

    /** Bytes that arrived earlier and may not be passed on yet. */
    private var held: ByteBuf = Unpooled.EMPTY_BUFFER
    private var hasFault = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf) return super.channelRead(context, message)
        if (hasFault) {
            message.release()
            return
        }
        val end = read(ReceivedBuffer(message))
        val fault = reader.fault
        hasFault = fault != null
        passOnDecided(context, message, end - reader.undecidedBytes)
        if (fault != null) report(context, fault)
    }

    override fun handlerRemoved(context: ChannelHandlerContext): Unit = releaseHeld()

    /** Returns the position after the last byte of [received] that was read. */
    private fun read(received: ReceivedBuffer): Int {
        var position = 0
        while (position < received.size && reader.fault == null) {
            val hadHead = reader.isHeadDecided
            position = reader.read(received, position)
            if (reader.isHeadDecided && !hadHead) requests++
            if (reader.isComplete) reader = newReader()
        }
        return position
    }

    /** Passes on what is held and the bytes of [message] before [decidedEnd], and holds the rest. */
    private fun passOnDecided(context: ChannelHandlerContext, message: ByteBuf, decidedEnd: Int) {
        if (decidedEnd > 0) {
            passOnHeld(context)
            context.fireChannelRead(message.readRetainedSlice(decidedEnd))
        }
        if (message.isReadable && !hasFault) hold(context, message)
        message.release()
    }

    private fun passOnHeld(context: ChannelHandlerContext) {
        if (!held.isReadable) return
        val decided = held
        held = Unpooled.EMPTY_BUFFER
        context.fireChannelRead(decided)
    }

    private fun hold(context: ChannelHandlerContext, bytes: ByteBuf) {
        if (!held.isReadable) held = context.alloc().heapBuffer(bytes.readableBytes())
        held.writeBytes(bytes)
    }

    private fun releaseHeld() {
        held.release()
        held = Unpooled.EMPTY_BUFFER
    }

    private fun report(context: ChannelHandlerContext, fault: FramingFault) {
        releaseHeld()
        if (reader.isHeadDecided) {
            onBodyFault(DoubtfulBody(requests, fault))
        } else {
            context.fireChannelRead(invalidRequest(reader.head, fault))
        }
    }

    private fun invalidRequest(head: MessageHead?, fault: FramingFault): DefaultFullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
        head?.fields?.filter { it.name.lowercase() !in FRAMING_FIELDS }?.forEach {
            request.headers().add(
                it.name,
                it.value,
            )
        }
        request.decoderResult = DecoderResult.failure(DoubtfulFraming(fault))
        return request
    }

    private fun newReader() = MessageReader(MAX_HEAD_BYTES) { RequestFraming.of(it) }

    public companion object {
        /** Limit on the size of the request line of a request. */
        public const val MAX_REQUEST_LINE_BYTES: Int = 16_384

        /** Limit on the size of a request's header fields. */
        public const val MAX_HEADER_BYTES: Int = 65_536
        private const val MAX_HEAD_BYTES = MAX_REQUEST_LINE_BYTES + MAX_HEADER_BYTES
        private val FRAMING_FIELDS = setOf("content-length", "transfer-encoding", "connection", "expect", "upgrade")

        /**
         * Observes [connection], from which nothing may have been read yet and which cannot change to HTTP/2.
         *
         * @param onBodyFault called if the end of a request is in doubt after its head was passed on; by default, the
         *   connection is closed.
         */
        public fun attachTo(connection: HttpConnection, onBodyFault: (DoubtfulBody) -> Unit = { connection.close() }) {
            ConnectionChannels
                .ofServer(
                    connection,
                ).pipeline()
                .addFirst("request-framing", RequestFramingGuard(onBodyFault))
        }
    }
}
