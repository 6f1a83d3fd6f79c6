package toucanrelay.measure.metrics

import toucanrelay.measure.load.Endpoint
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val TIMEOUT_SECONDS = 5L

/** Reads a daemon's metrics in Prometheus' text format. */
internal class MetricsReader {
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build()

    /** The counter [name] of all [endpoints] together, by its tag `reason`; reasons at zero are left out. */
    fun byReason(name: String, endpoints: List<Endpoint>): Map<String, Long> =
        endpoints
            .flatMap { endpoint -> read(endpoint).lines().mapNotNull { parse(name, it) } }
            .groupBy({ it.reason }, { it.count })
            .mapValues { it.value.sum() }
            .filterValues { it > 0 }
            .toSortedMap()

    /** The counter or gauge [name] of all [endpoints] together, whatever its tags. */
    fun sum(name: String, endpoints: List<Endpoint>): Double =
        endpoints.sumOf { endpoint -> read(endpoint).lines().sumOf { anyTags(name, it) ?: 0.0 } }

    private fun anyTags(name: String, line: String): Double? =
        if (line.startsWith("$name ") ||
            line.startsWith("$name{")
        ) {
            line.substringAfterLast(' ').toDoubleOrNull()
        } else {
            null
        }

    private fun read(endpoint: Endpoint): String {
        val request =
            HttpRequest
                .newBuilder(URI("http://${endpoint.host}:${endpoint.port}/metrics"))
                .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        if (response.statusCode() != STATUS_OK) throw IOException("metrics answered ${response.statusCode()}")
        return response.body()
    }

    internal companion object {
        private const val STATUS_OK = 200
        private val tagged = Regex("""(\w+)\{[^}]*reason="([^"]*)"[^}]*}\s+(\S+)""")

        /** The count in [line] when it is of the counter [name]; null for any other line. */
        fun parse(name: String, line: String): ReasonCount? {
            val match = tagged.matchEntire(line) ?: return null
            val (metric, reason, value) = match.destructured
            return if (metric == name) ReasonCount(reason, value.toDouble().toLong()) else null
        }
    }
}

/** How often something happened for one reason. */
internal data class ReasonCount(
    val reason: String,
    val count: Long,
)
