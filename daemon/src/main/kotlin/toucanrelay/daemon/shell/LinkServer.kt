package toucanrelay.daemon.shell

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.withContext
import toucanrelay.daemon.settings.ListenAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** gRPC server for the links of other daemons. */
internal class LinkServer(
    private val address: ListenAddress,
    private val services: List<BindableService>,
) {
    private val eventLoops: EventLoopGroup = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private var server: Server? = null

    /** Starts the server and returns the port that it is bound to. */
    suspend fun start(): Int =
        withContext(Dispatchers.IO) {
            val started = build().start()
            server = started
            started.port
        }

    /** Waits briefly for running calls, cancels the rest and closes the port. */
    suspend fun stop() {
        withContext(Dispatchers.IO) {
            server?.shutdown()?.awaitTermination(CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            server?.shutdownNow()?.awaitTermination(CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            closeEventLoops()
        }
    }

    // Cancelled calls still close their streams on the event loops; the quiet period leaves time for that.
    private fun closeEventLoops() {
        eventLoops
            .shutdownGracefully(QUIET_PERIOD_MILLISECONDS, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(CLOSE_TIMEOUT_MILLISECONDS)
    }

    private fun build(): Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(eventLoops)
            .workerEventLoopGroup(eventLoops)
            .channelType(NioServerSocketChannel::class.java)
            .executor(Dispatchers.Default.asExecutor())
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .permitKeepAliveTime(MIN_KEEP_ALIVE_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .apply { services.forEach { addService(it) } }
            .build()

    private companion object {
        const val EVENT_LOOPS = 2
        const val MAX_MESSAGE_BYTES = 17 * 1_024 * 1_024
        const val MIN_KEEP_ALIVE_INTERVAL_MILLISECONDS = 1_000L
        const val CLOSE_TIMEOUT_MILLISECONDS = 500L
        const val QUIET_PERIOD_MILLISECONDS = 100L
    }
}
