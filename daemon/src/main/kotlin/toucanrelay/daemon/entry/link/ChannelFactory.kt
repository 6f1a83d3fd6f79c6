package toucanrelay.daemon.entry.link

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.vertx.core.Context
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/**
 * Opens connections to agents.
 *
 * Callbacks run on the entry's event loop, so that a chunk of an answer switches threads only once on its way to the
 * caller.
 */
internal class ChannelFactory(
    context: Context,
) {
    private val group: EventLoopGroup = NioEventLoopGroup(1)
    private val executor = Executor { task -> context.runOnContext { task.run() } }

    /** Runs coroutines on the entry's event loop. */
    val dispatcher: CoroutineDispatcher = context.dispatcher()

    fun open(host: String, port: Int): ManagedChannel =
        NettyChannelBuilder
            .forAddress(InetSocketAddress(host, port))
            .usePlaintext()
            .eventLoopGroup(group)
            .channelType(NioSocketChannel::class.java)
            .executor(executor)
            .disableRetry()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .build()

    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    companion object {
        private const val MAX_MESSAGE_BYTES = 67_108_864

        /** Runs control streams, so that answers on the event loop do not delay heartbeats and grants. */
        val controlDispatcher: CoroutineDispatcher = Dispatchers.Default

        /** [controlDispatcher] as an executor for gRPC. */
        val controlExecutor: Executor = controlDispatcher.asExecutor()
    }
}
