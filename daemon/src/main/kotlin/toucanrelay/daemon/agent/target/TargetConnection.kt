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

/** Headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1). */
private val HOP_BY_HOP_HEADERS =
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

/** Returns whether [header] is forwarded between caller and target. */
internal fun isForwarded(header: String): Boolean = header.lowercase() !in HOP_BY_HOP_HEADERS

/**
 * Opens connections to one target.
 *
 * Each request uses a separate connection, so that a silent connection affects one request only, and so that a failure
 * to connect proves that the target did not receive the request. The agent closes the connection after it has read the
 * answer: if the target closed first, the unread end of the answer could be lost.
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
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS).setSendBufferSize(SEND_BUFFER_BYTES),
        )

    /** Connects; throws when no connection could be opened, in which case the target received nothing. */
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

    /** Sends a short request and returns the response; null when the call failed or timed out. */
    suspend fun call(method: HttpMethod, path: String, body: Buffer? = null): TargetResponse? =
        withTimeoutOrNull(CALL_TIMEOUT_MILLISECONDS) {
            runCatching {
                val request = connect(method, path)
                if (body != null) request.putHeader("Content-Type", "application/json")
                val answer =
                    request
                        .response()
                        .compose { head -> head.body().map { TargetResponse(head.statusCode(), it) } }
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

        /** What the operating system holds of a request that a target does not read counts as sent ([ResponseBody]). */
        const val SEND_BUFFER_BYTES = 131_072
        const val CALL_TIMEOUT_MILLISECONDS = 2_000L
        const val HTTP_PORT = 80
        const val HTTPS_PORT = 443
    }
}

/** Response to [TargetConnection.call]. */
internal class TargetResponse(
    val status: Int,
    val body: Buffer,
)
