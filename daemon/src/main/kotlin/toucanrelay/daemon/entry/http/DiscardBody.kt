package toucanrelay.daemon.entry.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest

private const val DISCARD_LIMIT_MILLISECONDS = 1_000L

/**
 * Reads and discards the rest of a refused body for at most [DISCARD_LIMIT_MILLISECONDS], then closes the connection.
 *
 * Closing a connection with unread bytes resets it, and the caller might not receive the refusal.
 */
internal fun HttpServerRequest.discardThenClose(vertx: Vertx) {
    val timer = vertx.setTimer(DISCARD_LIMIT_MILLISECONDS) { connection().close() }
    handler { }
    exceptionHandler { vertx.cancelTimer(timer) }
    endHandler {
        vertx.cancelTimer(timer)
        connection().close()
    }
    resume()
}
