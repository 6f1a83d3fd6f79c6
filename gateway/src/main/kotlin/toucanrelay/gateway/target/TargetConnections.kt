package toucanrelay.gateway.target

import io.netty.channel.ConnectTimeoutException
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock
import toucanrelay.gateway.body.TurnQueue
import java.net.ConnectException

/** Pool of the connections of this process to one target. */
internal class TargetConnections(
    private val agent: HttpClientAgent,
    private val address: TargetAddress,
    private val clock: Clock,
    private val turns: TurnQueue,
    private val onReceived: () -> Unit,
) {
    private val idle = ArrayDeque<TargetConnection>()

    /**
     * Returns an idle connection or opens a new one; throws [TargetFailure.NotSent] if that fails.
     *
     * @param maxIdleMilliseconds idle time from which on a connection is not reused.
     */
    suspend fun acquire(maxIdleMilliseconds: Long): TargetConnection {
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isReusable(maxIdleMilliseconds)) return connection
            discard(connection)
        }
        return connect()
    }

    /**
     * Opens a connection and keeps it for a later request; throws [TargetFailure.NotSent] if that fails.
     */
    suspend fun open() {
        idle.addLast(connect())
    }

    /** Returns a connection whose last answer was read completely to the pool. */
    fun release(connection: TargetConnection) {
        connection.markIdle()
        returnUnused(connection)
    }

    /** Returns a connection that was acquired and carried no request. */
    fun returnUnused(connection: TargetConnection) {
        if (connection.isReusable(MAX_IDLE_MILLISECONDS)) idle.addLast(connection) else discard(connection)
    }

    /** Closes a connection that was acquired. */
    fun discard(connection: TargetConnection) {
        connection.close()
    }

    /** Closes the connections that have been idle for too long. */
    fun closeExpired() {
        while (idle.isNotEmpty() && !idle.first().isReusable(MAX_IDLE_MILLISECONDS)) discard(idle.removeFirst())
    }

    /** Closes all idle connections. */
    fun close() {
        while (idle.isNotEmpty()) discard(idle.removeFirst())
    }

    private suspend fun connect(): TargetConnection {
        val options =
            HttpConnectOptions()
                .setHost(address.host)
                .setPort(address.port)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
        val opening = agent.connect(options)
        try {
            return TargetConnection(opening.coAwait(), clock, turns, onReceived)
        } catch (cancelled: CancellationException) {
            opening.onSuccess { it.close() }
            throw cancelled
        } catch (failure: Exception) {
            val isRefused = failure is ConnectException && failure !is ConnectTimeoutException
            throw TargetFailure.NotSent(failure.message ?: failure.javaClass.simpleName, isRefused)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 400L
        const val MAX_IDLE_MILLISECONDS = 4_000L
    }
}
