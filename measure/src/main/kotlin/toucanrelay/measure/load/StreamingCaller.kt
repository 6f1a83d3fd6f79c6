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

private const val MILLISECONDS_PER_SECOND = 1_000L
private const val STATUS_OK = 200

/**
 * A network address.
 *
 * @property host IP address.
 * @property port TCP port.
 */
public data class Endpoint(
    public val host: String,
    public val port: Int,
)

/**
 * Sends requests for streamed answers and measures them.
 *
 * @param client HTTP client with connections to the entries.
 */
internal class StreamingCaller(
    private val client: HttpClient,
) {
    /** Sends [request] to [endpoint] and suspends until the call ends, whatever its outcome. */
    suspend fun call(
        endpoint: Endpoint,
        key: String,
        request: PlannedRequest,
        meter: OrganisationMeter,
    ): CallOutcome {
        meter.recordStart()
        val reader = AnswerReader(request, meter)
        val outcome =
            try {
                receive(endpoint, key, reader).coAwait()
            } catch (exception: CancellationException) {
                meter.recordEnd(CallOutcome.Disconnected("the caller gave up"))
                throw exception
            } catch (exception: Exception) {
                CallOutcome.Disconnected(exception.javaClass.simpleName)
            }
        meter.recordEnd(outcome)
        return outcome
    }

    private fun receive(endpoint: Endpoint, key: String, reader: AnswerReader): Future<CallOutcome> {
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
            .compose { it.send(reader.request.toBody()) }
            .compose { response ->
                if (response.statusCode() ==
                    STATUS_OK
                ) {
                    reader.read(response)
                } else {
                    refusal(response)
                }
            }
    }

    private fun refusal(response: HttpClientResponse): Future<CallOutcome> =
        response.body().map { body ->
            val problem = ProblemDocument.parse(body.toString())
            val retryAfter = response.getHeader("Retry-After")?.toLongOrNull()?.times(MILLISECONDS_PER_SECOND)
            val reason = problem.reason.ifEmpty { response.statusCode().toString() }
            CallOutcome.Refused(response.statusCode(), reason, problem.executed, retryAfter)
        }
}

/**
 * Reads and measures one streamed answer.
 *
 * @property request request that is answered.
 * @param meter measurements of the organisation.
 */
private class AnswerReader(
    val request: PlannedRequest,
    private val meter: OrganisationMeter,
) {
    private val validator = EventStreamValidator()
    private val sentAt = System.nanoTime()
    private var previousAt = 0L
    private var problem: CallOutcome? = null

    fun read(response: HttpClientResponse): Future<CallOutcome> {
        val events = RecordParser.newDelimited("\n\n") { accept(it) }
        response.handler { events.handle(it) }
        return response.end().map { outcome() }
    }

    private fun accept(event: Buffer) {
        when (validator.accept(event.toString())) {
            StreamEvent.TOKEN -> {
                recordToken()
            }

            StreamEvent.ERROR -> {
                problem = CallOutcome.Failed(reasonIn(event.toString()))
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

    private fun recordToken() {
        val now = System.nanoTime()
        if (previousAt == 0L) meter.recordFirstToken(request, now - sentAt) else meter.recordNextToken(now - previousAt)
        previousAt = now
    }

    private fun reasonIn(errorEvent: String): String {
        val data = errorEvent.substringAfter("data: ", "")
        return ProblemDocument.parse(data).reason.ifEmpty { data.take(DETAIL_CHARACTERS) }
    }

    private fun outcome(): CallOutcome =
        problem
            ?: if (validator.isComplete) {
                CallOutcome.Complete
            } else {
                CallOutcome.Disconnected(
                    "the stream ended without its end mark",
                )
            }

    private companion object {
        private const val DETAIL_CHARACTERS = 120
    }
}
