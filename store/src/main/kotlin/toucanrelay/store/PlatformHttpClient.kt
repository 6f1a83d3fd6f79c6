package toucanrelay.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.net.URI
import java.net.URLEncoder

/** A response of the platform with its complete body. */
internal class PlatformResponse(
    val status: Int,
    val entityTag: String?,
    val body: Buffer,
)

/** A call to the platform. */
internal class PlatformCall(
    val method: HttpMethod,
    val segments: List<String>,
    val condition: HttpCondition? = null,
    val body: Buffer? = null,
)

/** A conditional request header (RFC 9110, section 13). */
internal class HttpCondition(
    val header: String,
    val value: String,
)

/**
 * Sends calls to the platform and distinguishes failed calls that cannot have taken effect from those that may have.
 *
 * Uses Vert.x's core HTTP client because it connects and sends in two steps: a call that fails while connecting was not
 * sent; a call that fails later may have been.
 */
internal class PlatformHttpClient(
    vertx: Vertx,
    baseUrl: String,
    private val timeouts: PlatformTimeouts,
) {
    private val base = URI.create(baseUrl.trimEnd('/')).also { requireHttp(it) }

    private val client =
        vertx.createHttpClient(
            HttpClientOptions()
                .setConnectTimeout(timeouts.connectMilliseconds)
                .setSsl(base.scheme == "https"),
        )

    suspend fun call(call: PlatformCall): Result<PlatformResponse, PlatformError> =
        connect(call).fold(success = { send(it, call) }, failure = { Err(it) })

    suspend fun close() {
        client.close().coAwait()
    }

    private suspend fun connect(call: PlatformCall): Result<HttpClientRequest, PlatformError> =
        try {
            Ok(client.request(options(call)).coAwait())
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Err(PlatformError.NotExecuted("no connection to the platform: ${failure.message}"))
        }

    private suspend fun send(request: HttpClientRequest, call: PlatformCall): Result<PlatformResponse, PlatformError> =
        try {
            withTimeoutOrNull(timeouts.responseMilliseconds) { exchange(request, call) }?.let { Ok(it) }
                ?: outcomeUnknown(request, "no response within ${timeouts.responseMilliseconds} ms")
        } catch (cancelled: CancellationException) {
            request.reset()
            throw cancelled
        } catch (failure: Exception) {
            outcomeUnknown(request, "the connection failed: ${failure.message}")
        }

    /** Registers the body handler before sending, because Vert.x discards a body that arrives without a handler. */
    private suspend fun exchange(request: HttpClientRequest, call: PlatformCall): PlatformResponse {
        val response = request.response().compose { head -> head.body().map { platformResponse(head, it) } }
        call.body?.let { request.send(it) } ?: request.send()
        return response.coAwait()
    }

    private fun platformResponse(response: HttpClientResponse, body: Buffer): PlatformResponse =
        PlatformResponse(response.statusCode(), response.getHeader("ETag"), body)

    private fun outcomeUnknown(request: HttpClientRequest, detail: String): Result<PlatformResponse, PlatformError> {
        request.reset()
        return Err(PlatformError.OutcomeUnknown(detail))
    }

    private fun options(call: PlatformCall): RequestOptions {
        val options =
            RequestOptions()
                .setMethod(call.method)
                .setHost(base.host)
                .setPort(if (base.port >= 0) base.port else defaultPort())
                .setURI(base.rawPath + call.segments.joinToString("") { "/" + encode(it) })
                .setConnectTimeout(timeouts.connectMilliseconds.toLong())
        call.condition?.let { options.putHeader(it.header, it.value) }
        return options
    }

    private fun defaultPort(): Int = if (base.scheme == "https") HTTPS_PORT else HTTP_PORT

    private fun encode(segment: String): String = URLEncoder.encode(segment, Charsets.UTF_8).replace("+", "%20")

    private fun requireHttp(url: URI) =
        require(url.scheme in SCHEMES && url.host != null) { "an http or https URL is needed: $url" }

    private companion object {
        const val HTTP_PORT = 80
        const val HTTPS_PORT = 443
        val SCHEMES = setOf("http", "https")
    }
}
