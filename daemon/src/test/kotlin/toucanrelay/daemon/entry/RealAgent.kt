package toucanrelay.daemon.entry

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import toucanrelay.daemon.agent.AgentRole
import toucanrelay.daemon.shell.DaemonContext
import java.net.InetSocketAddress

/** A real agent for the target [target], which listens on 127.0.0.1:[targetPort]. */
class RealAgent(
    private val fleet: TestFleet,
    private val target: String,
    private val targetPort: Int,
) {
    private lateinit var context: DaemonContext
    private lateinit var server: Server
    lateinit var role: AgentRole
        private set

    val port: Int
        get() = server.port

    suspend fun start(port: Int = 0, incarnation: Long = 1): RealAgent {
        context = fleet.agentContext(target, targetPort, incarnation)
        role = AgentRole(context)
        role.start()
        server =
            NettyServerBuilder
                .forAddress(InetSocketAddress("127.0.0.1", port))
                .apply { role.services.forEach { addService(it) } }
                .build()
                .start()
        return this
    }

    /** Stops the agent abruptly, without draining. */
    suspend fun crash() {
        server.shutdownNow().awaitTermination()
        role.close()
    }
}
