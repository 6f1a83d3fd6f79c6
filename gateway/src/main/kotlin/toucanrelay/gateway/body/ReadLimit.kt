package toucanrelay.gateway.body

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel

/**
 * Limits what the event loop reads from one connection in one turn, so that the sender does not decide how long it takes.
 *
 * By default the loop reads up to 1 MiB before it serves another connection.
 */
internal object ReadLimit {
    /** Maximum number of bytes that are read from a connection in a turn of the event loop. */
    const val MAX_BYTES_IN_TURN = 8_192
    private const val MIN_BUFFER_BYTES = 1_024
    private const val INITIAL_BUFFER_BYTES = 4_096

    private val allocator =
        AdaptiveRecvByteBufAllocator(MIN_BUFFER_BYTES, INITIAL_BUFFER_BYTES, MAX_BYTES_IN_TURN).maxMessagesPerRead(1)

    /** Applies the limit to [channel]; to be called before anything was read from it. */
    fun applyTo(channel: Channel) {
        channel.config().setRecvByteBufAllocator(allocator)
    }
}
