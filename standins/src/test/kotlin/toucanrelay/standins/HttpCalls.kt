package toucanrelay.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** HTTP client for a stand-in on loopback; each client has its own connections. */
internal class HttpCalls(
    private val port: Int,
) {
    private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Returns a client for the same port that opens new connections. */
    fun withNewConnections(): HttpCalls = HttpCalls(port)

    fun get(path: String, vararg headers: String): HttpResponse<String> = send("GET", path, null, *headers)

    fun post(path: String, body: String, vararg headers: String) = send("POST", path, body, *headers)

    fun put(path: String, body: String, vararg headers: String) = send("PUT", path, body, *headers)

    fun delete(path: String, vararg headers: String) = send("DELETE", path, null, *headers)

    /** Starts a call and returns the response lines as they arrive. */
    fun openLines(path: String, body: String, vararg headers: String): Iterator<String> =
        client.send(request("POST", path, body, *headers), HttpResponse.BodyHandlers.ofLines()).body().iterator()

    fun send(
        method: String,
        path: String,
        body: String?,
        vararg headers: String,
    ): HttpResponse<String> = client.send(request(method, path, body, *headers), HttpResponse.BodyHandlers.ofString())

    fun request(
        method: String,
        path: String,
        body: String?,
        vararg headers: String,
    ): HttpRequest {
        val publisher = body?.let { HttpRequest.BodyPublishers.ofString(it) } ?: HttpRequest.BodyPublishers.noBody()
        val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).method(method, publisher)
        if (headers.isNotEmpty()) builder.headers(*headers)
        return builder.timeout(Duration.ofSeconds(20)).build()
    }

    fun sendAsync(
        method: String,
        path: String,
        body: String?,
        vararg headers: String,
    ) = client.sendAsync(request(method, path, body, *headers), HttpResponse.BodyHandlers.ofString())
}

internal const val COMPLETIONS = "/v1/chat/completions"

internal fun chatBody(
    maxTokens: Int,
    prompt: String = "hello",
    stream: Boolean = false,
    stopAfter: Int? = null,
): String {
    val stopAfterMember = stopAfter?.let { ""","stop_after":$it""" }.orEmpty()
    return """{"model":"advice","messages":[{"role":"user","content":"$prompt"}],""" +
        """"max_tokens":$maxTokens,"stream":$stream$stopAfterMember}"""
}
