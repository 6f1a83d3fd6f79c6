package toucanrelay.daemon.shell

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** HTTP client of a daemon's operators' port. */
class OperatorsClient(
    val port: Int,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(path: String): HttpResponse<String> = send(request(path).GET().build())

    fun putBundle(text: String): HttpResponse<String> =
        send(request("/bundle").PUT(HttpRequest.BodyPublishers.ofString(text)).build())

    private fun request(path: String) = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))

    private fun send(request: HttpRequest) = client.send(request, HttpResponse.BodyHandlers.ofString())
}
