package toucanrelay.gateway.http

import io.vertx.core.http.HttpConnection
import toucanrelay.http.DoubtfulBody

/** A caller's connection, and why this process closes it. */
internal class CallerConnection(
    private val connection: HttpConnection,
) {
    /** The request that arrives on the connection or has arrived last; null before the first one. */
    var newest: CallerExchange? = null
        private set

    /** Number of requests that were begun on the connection. */
    var requests: Int = 0
        private set

    /** The request whose body does not say where it ends; it is the last one of the connection. Null if there is none. */
    var doubtfulBody: DoubtfulBody? = null
        private set

    private var hasInvalidRequest = false

    /** Whether the request that was begun last is [doubtfulBody]. */
    val isNewestDoubtful: Boolean
        get() = doubtfulBody?.requestNumber == requests

    /** Whether no request is read from the connection after the one that was begun last. */
    val isNewestLast: Boolean
        get() = hasInvalidRequest || isNewestDoubtful

    /** Why this process has closed the connection; null if it has not. */
    var closeReason: CloseReason? = null
        private set

    /** Records that the request of [exchange] was begun. */
    fun recordRequest(exchange: CallerExchange) {
        newest = exchange
        requests++
    }

    /** Records that the request that was begun last could not be decoded. */
    fun recordInvalid() {
        hasInvalidRequest = true
    }

    /** Records that the end of [body] is in doubt. */
    fun recordDoubtful(body: DoubtfulBody) {
        doubtfulBody = body
    }

    /** Closes the connection for [reason]. */
    fun close(reason: CloseReason) {
        if (closeReason == null) closeReason = reason
        connection.close()
    }
}
