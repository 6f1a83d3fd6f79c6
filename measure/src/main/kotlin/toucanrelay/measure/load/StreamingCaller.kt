package toucanrelay.measure.load

import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.parsetools.RecordParser
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException

private const val MILLISECONDS_IN_A_SECOND = 1_000L
private const val STATUS_OK = 200

/**
 * Where callers send their requests.
 *
 * @property host IP number.
 * @property port port.
 */
public data class Endpoint(
    public val host: String,
    public val port: Int,
)

/**
 * Sends streamed requests and measures what comes back.
 *
 * @param client connections to the entries.
 */
internal class StreamingCaller(
    private val client: HttpClient,
) {
    /** Sends [request] to [endpoint] and suspends until the answer ended, one way or the other. */
    suspend fun call(
        endpoint: Endpoint,
        key: String,
        request: PlannedRequest,
        meter: OrganisationMeter,
    ): CallOutcome {
        meter.noteStart()
        val reception = Reception(request, meter)
        val outcome =
            try {
                receive(endpoint, key, reception).coAwait()
            } catch (exception: CancellationException) {
                meter.noteEnd(CallOutcome.Cut("the caller gave up"))
                throw exception
            } catch (exception: Exception) {
                CallOutcome.Cut(exception.javaClass.simpleName)
            }
        meter.noteEnd(outcome)
        return outcome
    }

    private fun receive(endpoint: Endpoint, key: String, reception: Reception): Future<CallOutcome> {
        val options =
            RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.host)
                .setPort(endpoint.port)
                .setURI("/v1/chat/completions")
                .putHeader("Authorization", "Bearer $key")
                .putHeader("Content-Type", "application/json")
        return client
            .request(options)
            .compose { it.send(reception.request.toBody()) }
            .compose { response ->
                if (response.statusCode() ==
                    STATUS_OK
                ) {
                    reception.read(response)
                } else {
                    refusal(response)
                }
            }
    }

    private fun refusal(response: HttpClientResponse): Future<CallOutcome> =
        response.body().map { body ->
            val problem = ProblemDocument.parse(body.toString())
            val retryAfter = response.getHeader("Retry-After")?.toLongOrNull()?.times(MILLISECONDS_IN_A_SECOND)
            val reason = problem.reason.ifEmpty { response.statusCode().toString() }
            CallOutcome.Refused(response.statusCode(), reason, problem.executed, retryAfter)
        }
}

/**
 * One answer while it arrives.
 *
 * @property request the request it answers.
 * @param meter what the callers of the organisation see.
 */
private class Reception(
    val request: PlannedRequest,
    private val meter: OrganisationMeter,
) {
    private val check = EventStreamCheck()
    private val sentAt = System.nanoTime()
    private var lastTokenAt = 0L
    private var problem: CallOutcome? = null

    fun read(response: HttpClientResponse): Future<CallOutcome> {
        val events = RecordParser.newDelimited("\n\n") { accept(it) }
        response.handler { events.handle(it) }
        return response.end().map { outcome() }
    }

    private fun accept(event: Buffer) {
        when (check.accept(event.toString())) {
            StreamEvent.TOKEN -> {
                noteToken()
            }

            StreamEvent.ERROR -> {
                problem = CallOutcome.BrokenOff(reasonIn(event.toString()))
            }

            StreamEvent.OUT_OF_ORDER -> {
                problem =
                    problem ?: CallOutcome.Corrupt(event.toString().take(DETAIL_CHARACTERS))
            }

            StreamEvent.USAGE, StreamEvent.END -> {
                Unit
            }
        }
    }

    private fun noteToken() {
        val now = System.nanoTime()
        if (lastTokenAt == 0L) meter.noteFirstToken(request, now - sentAt) else meter.noteNextToken(now - lastTokenAt)
        lastTokenAt = now
    }

    private fun reasonIn(errorEvent: String): String {
        val data = errorEvent.substringAfter("data: ", "")
        return ProblemDocument.parse(data).reason.ifEmpty { data.take(DETAIL_CHARACTERS) }
    }

    private fun outcome(): CallOutcome =
        problem ?: if (check.isWhole) CallOutcome.Whole else CallOutcome.Cut("the stream ended without its end mark")

    private companion object {
        private const val DETAIL_CHARACTERS = 120
    }
}
