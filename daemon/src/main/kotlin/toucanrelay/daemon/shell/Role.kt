package toucanrelay.daemon.shell

import io.grpc.BindableService
import kotlinx.collections.immutable.PersistentList

/** The component of a daemon that differs between an entry and an agent. */
public interface Role {
    /** gRPC services to serve on the link port of the process. */
    public val services: PersistentList<BindableService>

    /** Port for callers, available after [start]; null if the role does not serve callers. */
    public val callersPort: Int?
        get() = null

    /** Starts the role; the daemon binds the link port after this returns. */
    public suspend fun start()

    /** Returns whether the role is ready for requests, as reported at `/readyz`. */
    public fun isReady(): Boolean

    /**
     * Stops accepting requests, then waits at most [limitMilliseconds] for running requests to end.
     *
     * @return the number of requests that were cut off at the limit.
     */
    public suspend fun drain(limitMilliseconds: Long): Int

    /** Releases the resources of the role. */
    public suspend fun close()
}
