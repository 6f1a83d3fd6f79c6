package toucanrelay.gateway.target

import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/** The connections of this process to one target. */
internal class TargetConnections(
    private val agent: HttpClientAgent,
    private val address: TargetAddress,
    private val clock: Clock,
    private val heard: () -> Unit,
) {
    private val idle = ArrayDeque<TargetConnection>()

    /**
     * An idle connection, or a new one; throws [TargetFailure.NotSent] when none can be made.
     *
     * @param longestIdleMilliseconds connections that have been idle for longer are not used.
     */
    suspend fun acquire(longestIdleMilliseconds: Long): TargetConnection {
        while (idle.isNotEmpty()) {
            val newest = idle.removeLast()
            if (newest.isReusable(longestIdleMilliseconds)) return newest
            discard(newest)
        }
        return connect()
    }

    /** Takes back a connection whose last answer was read to its end. */
    fun release(connection: TargetConnection) {
        connection.noteIdle()
        if (connection.isReusable(LONGEST_IDLE_MILLISECONDS)) idle.addLast(connection) else discard(connection)
    }

    /** Closes a connection that was acquired. */
    fun discard(connection: TargetConnection) {
        connection.close()
    }

    /** Closes idle connections that are too old to be used. */
    fun closeOldest() {
        while (idle.isNotEmpty() && !idle.first().isReusable(LONGEST_IDLE_MILLISECONDS)) discard(idle.removeFirst())
    }

    /** Closes all idle connections. */
    fun close() {
        while (idle.isNotEmpty()) discard(idle.removeFirst())
    }

    private suspend fun connect(): TargetConnection {
        try {
            val options =
                HttpConnectOptions()
                    .setHost(address.host)
                    .setPort(address.port)
                    .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
            return TargetConnection(agent.connect(options).coAwait(), clock, heard)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            throw TargetFailure.NotSent(failure.message ?: failure.javaClass.simpleName)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 400L
        const val LONGEST_IDLE_MILLISECONDS = 4_000L
    }
}
