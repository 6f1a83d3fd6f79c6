package toucanrelay.daemon.shell

import io.grpc.BindableService
import kotlinx.collections.immutable.PersistentList

/** What a process does: the part of the daemon that differs between an entry and an agent. */
public interface Role {
    /** Services to offer on the process's link port. */
    public val services: PersistentList<BindableService>

    /** Port that faces callers once the role has started; null when it faces none. */
    public val callersPort: Int?
        get() = null

    /** Starts serving; the link port is bound after this returns. */
    public suspend fun start()

    /** Whether callers and peers may send work, for `/readyz`. */
    public fun isReady(): Boolean

    /**
     * Takes no new work, then waits until all work in hand has ended, at most [limitMilliseconds].
     *
     * @return the requests that were cut at the limit.
     */
    public suspend fun drain(limitMilliseconds: Long): Int

    /** Frees what the role holds. */
    public suspend fun close()
}
