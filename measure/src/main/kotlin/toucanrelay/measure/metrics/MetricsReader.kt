package toucanrelay.measure.metrics

import toucanrelay.measure.load.Endpoint
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val TIMEOUT_SECONDS = 5L

/** Reads daemons' metrics in the Prometheus text format. */
internal class MetricsReader {
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build()

    /** Sums the counter [name] over all [endpoints] by its tag `reason`; omits reasons with a count of zero. */
    fun countsByReason(name: String, endpoints: List<Endpoint>): Map<String, Long> =
        endpoints
            .flatMap { endpoint -> read(endpoint).lines().mapNotNull { parse(name, it) } }
            .groupBy({ it.reason }, { it.count })
            .mapValues { it.value.sum() }
            .filterValues { it > 0 }
            .toSortedMap()

    /** Sums the counter or gauge [name] over all [endpoints] and all tags. */
    fun sum(name: String, endpoints: List<Endpoint>): Double =
        endpoints.sumOf { endpoint -> read(endpoint).lines().sumOf { sampleValue(name, it) ?: 0.0 } }

    private fun sampleValue(name: String, line: String): Double? =
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
        if (response.statusCode() != STATUS_OK) throw IOException("/metrics answered HTTP ${response.statusCode()}")
        return response.body()
    }

    internal companion object {
        private const val STATUS_OK = 200
        private val sampleWithReason = Regex("""(\w+)\{[^}]*reason="([^"]*)"[^}]*}\s+(\S+)""")

        /** Parses a sample of the counter [name] with a tag `reason`; returns null for any other [line]. */
        fun parse(name: String, line: String): ReasonCount? {
            val match = sampleWithReason.matchEntire(line) ?: return null
            val (metric, reason, value) = match.destructured
            return if (metric == name) ReasonCount(reason, value.toDouble().toLong()) else null
        }
    }
}

/** The value of a counter for one value of its tag `reason`. */
internal data class ReasonCount(
    val reason: String,
    val count: Long,
)
