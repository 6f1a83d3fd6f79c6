package toucanrelay.gateway.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.core.target.TargetAddress
import toucanrelay.http.RequestFramingGuard

/** A plain-text page with its HTTP status. */
internal class PlainPage(
    val status: Int,
    val text: String,
)

/** Serves one plain-text page for every path. */
internal class PlainPageServer(
    private val vertx: Vertx,
    private val page: () -> PlainPage,
) {
    /** Binds [address]. */
    suspend fun listen(address: TargetAddress) {
        vertx
            .createHttpServer(HttpServerOptions().setHttp2ClearTextEnabled(false).setIdleTimeout(IDLE_TIMEOUT_SECONDS))
            .connectionHandler { RequestFramingGuard.attachTo(it) }
            .requestHandler { request ->
                val answer = page()
                request
                    .response()
                    .setStatusCode(answer.status)
                    .putHeader("Content-Type", "text/plain")
                    .end(answer.text)
            }.listen(address.port, address.host)
            .coAwait()
    }

    private companion object {
        const val IDLE_TIMEOUT_SECONDS = 30
    }
}
