package toucanrelay.gateway.target

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/**
 * Detects bytes that a target sends outside of an answer: while no request waits, or after the end of an answer.
 *
 * The decoder of answers keeps a part of a head until the rest of it arrives, and would complete it with the head of the
 * next answer. Confined to the event loop of the connection.
 *
 * @param onStray called when such bytes arrive, before the end of the answer that precedes them is passed on.
 */
internal class StrayByteDetector(
    private val onStray: () -> Unit,
) {
    /** Whether a request was sent whose answer has not ended. */
    private var isAnswerDue = false

    /** The bytes that the decoder is working on. */
    private var current: ByteBuf? = null

    /** Whether the decoder may have kept bytes, so that [current] does not show where an answer ends. */
    private var hasKeptBytes = false

    /** Observes the connection with the handlers [pipeline]; to be called before its first request is sent. */
    fun attach(pipeline: ChannelPipeline) {
        val decoder = pipeline.context(HttpClientCodec::class.java).name()
        pipeline.addBefore(decoder, "stray-bytes", ByteObserver())
        pipeline.addAfter(decoder, "answer-ends", AnswerObserver())
    }

    /** Records that a request is about to be sent. */
    fun recordRequest() {
        isAnswerDue = true
    }

    private fun recordAnswerEnd() {
        isAnswerDue = false
        if (hasKeptBytes || current?.isReadable == true) onStray()
    }

    private inner class ByteObserver : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (!isAnswerDue) onStray()
            if (message !is ByteBuf) return super.channelRead(context, message)
            current = message.retain()
            try {
                super.channelRead(context, message)
            } finally {
                if (message.isReadable) hasKeptBytes = true
                current = null
                message.release()
            }
        }
    }

    private inner class AnswerObserver : ChannelInboundHandlerAdapter() {
        private var isInformational = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) {
                isInformational = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            }
            if (message is LastHttpContent && !isInformational) recordAnswerEnd()
            super.channelRead(context, message)
        }
    }
}
