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

/** Serves the system's own processes over gRPC. */
internal class LinkServer(
    private val address: ListenAddress,
    private val services: List<BindableService>,
) {
    private val eventLoops: EventLoopGroup = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private var server: Server? = null

    /** Binds the port and returns its number. */
    suspend fun start(): Int =
        withContext(Dispatchers.IO) {
            val started = build().start()
            server = started
            started.port
        }

    /** Ends the calls that still run and frees the port. */
    suspend fun stop() {
        withContext(Dispatchers.IO) {
            server?.shutdown()?.awaitTermination(CLOSING_MILLISECONDS, TimeUnit.MILLISECONDS)
            server?.shutdownNow()?.awaitTermination(CLOSING_MILLISECONDS, TimeUnit.MILLISECONDS)
            closeEventLoops()
        }
    }

    // Calls that were cancelled still close their streams on the event loops; the quiet period lets them.
    private fun closeEventLoops() {
        eventLoops
            .shutdownGracefully(QUIET_MILLISECONDS, CLOSING_MILLISECONDS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(CLOSING_MILLISECONDS)
    }

    private fun build(): Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(eventLoops)
            .workerEventLoopGroup(eventLoops)
            .channelType(NioServerSocketChannel::class.java)
            .executor(Dispatchers.Default.asExecutor())
            .maxInboundMessageSize(MESSAGE_BYTES)
            .permitKeepAliveTime(KEEP_ALIVE_MILLISECONDS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .apply { services.forEach { addService(it) } }
            .build()

    private companion object {
        const val EVENT_LOOPS = 2
        const val MESSAGE_BYTES = 17 * 1_024 * 1_024
        const val KEEP_ALIVE_MILLISECONDS = 1_000L
        const val CLOSING_MILLISECONDS = 500L
        const val QUIET_MILLISECONDS = 100L
    }
}
