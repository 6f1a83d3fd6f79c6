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

/** An answer of the platform, read to its end. */
internal class PlatformAnswer(
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

/** A precondition of RFC 9110, section 13. */
internal class HttpCondition(
    val header: String,
    val value: String,
)

/**
 * Sends calls to the platform and tells whether a failed call can have taken effect.
 *
 * Vert.x's core client is used because its request is made in two steps: what fails before a connection is there was
 * not sent, what fails after may have been.
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

    suspend fun call(call: PlatformCall): Result<PlatformAnswer, PlatformError> =
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
            Err(PlatformError.NotTaken("no connection to the platform: ${failure.message}"))
        }

    private suspend fun send(request: HttpClientRequest, call: PlatformCall): Result<PlatformAnswer, PlatformError> =
        try {
            withTimeoutOrNull(timeouts.answerMilliseconds) { exchange(request, call) }?.let { Ok(it) }
                ?: lost(request, "no answer within ${timeouts.answerMilliseconds} ms")
        } catch (cancelled: CancellationException) {
            request.reset()
            throw cancelled
        } catch (failure: Exception) {
            lost(request, "the connection broke: ${failure.message}")
        }

    /** The body is asked for before the request is sent, since a body that nobody asked for on arrival is gone. */
    private suspend fun exchange(request: HttpClientRequest, call: PlatformCall): PlatformAnswer {
        val answer = request.response().compose { response -> response.body().map { answer(response, it) } }
        call.body?.let { request.send(it) } ?: request.send()
        return answer.coAwait()
    }

    private fun answer(response: HttpClientResponse, body: Buffer): PlatformAnswer =
        PlatformAnswer(response.statusCode(), response.getHeader("ETag"), body)

    private fun lost(request: HttpClientRequest, detail: String): Result<PlatformAnswer, PlatformError> {
        request.reset()
        return Err(PlatformError.AnswerLost(detail))
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
