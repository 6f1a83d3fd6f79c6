package toucanrelay.daemon.entry.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest

private const val DISCARD_LIMIT_MILLISECONDS = 1_000L

/**
 * Reads what is left of a refused body for a short time and closes the connection.
 *
 * A connection closed with unread bytes is reset, and the caller might lose the refusal.
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
