package toucanrelay.daemon.agent.target

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnectOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import java.net.URI

/** Headers of one connection, which are not passed on (RFC 9110, section 7.6.1). */
private val CONNECTION_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )

/** Whether a header goes on to the other side. */
internal fun isPassedOn(header: String): Boolean = header.lowercase() !in CONNECTION_HEADERS

/**
 * Makes connections to one target.
 *
 * Each request has a connection of its own, so that a connection that went silent harms one request, and so that a
 * failure to connect proves that the target did not get the request. The agent closes a connection once it has read the
 * answer: a target that closes first can take the unread end of an answer with it.
 *
 * @param baseUrl base URL of the target.
 */
internal class TargetConnection(
    vertx: Vertx,
    baseUrl: String,
) {
    private val base = URI(baseUrl.trimEnd('/'))
    private val isEncrypted = base.scheme == "https"
    private val port =
        if (base.port > 0) {
            base.port
        } else if (isEncrypted) {
            HTTPS_PORT
        } else {
            HTTP_PORT
        }
    private val client = vertx.createHttpClient(HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS))

    /** Connects; throws when no connection could be made, and then the target got nothing. */
    suspend fun connect(method: HttpMethod, path: String): HttpClientRequest {
        val address = HttpConnectOptions().setHost(base.host).setPort(port).setSsl(isEncrypted)
        val options =
            RequestOptions()
                .setHost(base.host)
                .setPort(port)
                .setMethod(method)
                .setURI(base.rawPath + path)
        return client.connect(address).compose { it.request(options) }.coAwait()
    }

    /** Makes a short call and returns its answer; null when none came in time. */
    suspend fun call(method: HttpMethod, path: String, body: Buffer? = null): ShortAnswer? =
        withTimeoutOrNull(SHORT_CALL_MILLISECONDS) {
            runCatching {
                val request = connect(method, path)
                if (body != null) request.putHeader("Content-Type", "application/json")
                val answer =
                    request
                        .response()
                        .compose { head -> head.body().map { ShortAnswer(head.statusCode(), it) } }
                        .onComplete { request.connection().close() }
                if (body == null) request.send() else request.send(body)
                answer.coAwait()
            }.getOrNull()
        }

    suspend fun close() {
        client.close().coAwait()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 2_000
        const val SHORT_CALL_MILLISECONDS = 2_000L
        const val HTTP_PORT = 80
        const val HTTPS_PORT = 443
    }
}

/** The answer to a short call. */
internal class ShortAnswer(
    val status: Int,
    val body: Buffer,
)
