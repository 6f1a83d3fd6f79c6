package toucanrelay.daemon.entry

import kotlinx.coroutines.future.await
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** HTTP client for one entry. */
class CallerClient(
    val port: Int,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    suspend fun chat(
        stream: Boolean = false,
        tokens: Int = 5,
        prompt: String = "hello",
        key: String? = KEY_OF_MILL,
        model: String = "advice",
    ): HttpResponse<String> = post("/v1/chat/completions", chatBody(stream, tokens, prompt, model), key)

    suspend fun post(
        path: String,
        body: String,
        key: String? = KEY_OF_MILL,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> = send("POST", path, body, key, headers).await()

    suspend fun get(path: String, key: String? = KEY_OF_MILL): HttpResponse<String> =
        send("GET", path, "", key, emptyMap()).await()

    fun send(
        method: String,
        path: String,
        body: String,
        key: String?,
        headers: Map<String, String>,
    ): CompletableFuture<HttpResponse<String>> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$port$path"))
                .timeout(Duration.ofSeconds(60))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        key?.let { request.header("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Sends [text] unchanged and returns all bytes received until the connection closes or a read times out. */
    fun raw(text: String, readTimeoutMilliseconds: Int = 15_000): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = readTimeoutMilliseconds
            socket.getOutputStream().write(text.toByteArray())
            socket.getOutputStream().flush()
            socket.getInputStream().readBytes().decodeToString()
        }
}

fun chatBody(
    stream: Boolean,
    tokens: Int,
    prompt: String = "hello",
    model: String = "advice",
): String =
    """{"model":"$model","stream":$stream,"max_tokens":$tokens,"messages":[{"role":"user","content":"$prompt"}]}"""

val HttpResponse<String>.requestId: String
    get() = headers().firstValue("X-Request-Id").get()

val HttpResponse<String>.executed: String?
    get() = Regex("\"executed\":\"([a-z]+)\"").find(body())?.groupValues?.get(1)

val HttpResponse<String>.problem: String?
    get() = Regex("urn:toucanrelay:problem:([a-z-]+)").find(body())?.groupValues?.get(1)

/** Returns a chat completion request as raw HTTP text. */
fun rawPost(body: String, key: String = KEY_OF_MILL, contentLength: Int = body.length): String =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer $key\r\n" +
        "Content-Length: $contentLength\r\nConnection: close\r\n\r\n$body"
