package toucanrelay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpClientCodec
import io.vertx.core.http.HttpMethod
import toucanrelay.core.http.MessageReader
import toucanrelay.core.http.ResponseFraming

/**
 * Fails a target's connection as soon as it is in doubt where an answer ends, before its decoder reads on.
 *
 * The decoder would take a part of such an answer for the whole one. Confined to the event loop of the connection.
 */
public class AnswerFramingCheck : ChannelInboundHandlerAdapter() {
    /** Reads the answer that is due; null before the first request. */
    private var reader: MessageReader? = null

    /** Checks the connection with the handlers [pipeline]; to be called before its first request is sent. */
    public fun attach(pipeline: ChannelPipeline) {
        val decoder = pipeline.context(HttpClientCodec::class.java).name()
        pipeline.addBefore(decoder, "answer-framing", this)
    }

    /** Records that a request with [method] is about to be sent, whose answer comes next. */
    public fun recordRequest(method: HttpMethod) {
        reader = MessageReader(MAX_HEAD_BYTES) { ResponseFraming.of(it, method == HttpMethod.HEAD) }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) reader?.read(ReceivedBuffer(message), 0)
        val fault = reader?.fault ?: return super.channelRead(context, message)
        if (message is ByteBuf) message.release()
        context.fireExceptionCaught(DoubtfulFraming(fault))
        context.close()
    }

    private companion object {
        /** More than the decoder reads, which tells a head that is too large from other faults. */
        const val MAX_HEAD_BYTES = 2 * 65_536
    }
}
