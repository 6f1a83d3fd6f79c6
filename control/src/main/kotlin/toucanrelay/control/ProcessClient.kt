package toucanrelay.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import toucanrelay.store.bundle.SignedBundle
import java.net.ConnectException

/** Address of the operators' port of a process. */
internal data class ProcessAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`. */
        fun parse(text: String): Result<ProcessAddress, ControlError> {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            if (host.isEmpty() || port == null || port !in 1..MAX_PORT) {
                return Err(ControlError.Usage("found \"$text\"; allowed is host:port"))
            }
            return Ok(ProcessAddress(host, port))
        }
    }
}

/** Status that a process reports about itself; unknown JSON keys are ignored. */
@Serializable
internal data class ProcessStatus(
    val instanceId: String,
    val role: String,
    val region: String,
    val failureDomain: String,
    val targetId: String? = null,
    val ready: Boolean,
    val bundleVersion: Long? = null,
)

/** Problem document returned by an operators' port. */
@Serializable
internal data class ProcessProblem(
    val title: String = "",
    val detail: String = "",
)

/** HTTP client for the operators' ports of processes. */
internal class ProcessClient(
    vertx: Vertx,
) {
    private val client = WebClient.create(vertx, WebClientOptions().setConnectTimeout(TIMEOUT_MILLISECONDS))

    /** Returns the status of the process at [address]; null if there is no response or it cannot be parsed. */
    suspend fun status(address: ProcessAddress): ProcessStatus? =
        try {
            val response =
                client
                    .get(address.port, address.host, "/status")
                    .timeout(TIMEOUT_MILLISECONDS.toLong())
                    .send()
                    .coAwait()
            json.decodeFromString<ProcessStatus>(response.bodyAsString().orEmpty())
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            null
        }

    /** Sends [signed] to the process at [address], which puts it in force. */
    suspend fun putBundle(signed: SignedBundle, address: ProcessAddress): Result<Unit, ControlError> =
        try {
            val response =
                client
                    .put(address.port, address.host, "/bundle")
                    .timeout(TIMEOUT_MILLISECONDS.toLong())
                    .sendBuffer(Buffer.buffer(signed.toJson()))
                    .coAwait()
            toResult(response.statusCode(), "$address: ${problemText(response.bodyAsString().orEmpty())}")
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (refused: ConnectException) {
            Err(ControlError.Unreachable("$address: ${refused.message}"))
        } catch (failure: Exception) {
            Err(ControlError.OutcomeUnknown("$address: ${failure.message}"))
        }

    private fun toResult(status: Int, detail: String): Result<Unit, ControlError> =
        when (status) {
            in 200..299 -> Ok(Unit)
            STATUS_CONFLICT -> Err(ControlError.Conflict(detail))
            in 500..599 -> if (status == STATUS_UNAVAILABLE) refused(detail) else outcomeUnknown(status, detail)
            else -> refused(detail)
        }

    private fun refused(detail: String) = Err(ControlError.Refused(detail))

    private fun outcomeUnknown(status: Int, detail: String) =
        Err(ControlError.OutcomeUnknown("status $status, $detail"))

    private fun problemText(body: String): String =
        try {
            json.decodeFromString<ProcessProblem>(body).let { "${it.title}: ${it.detail}" }
        } catch (malformed: SerializationException) {
            body.lineSequence().first()
        }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 3_000
        const val STATUS_CONFLICT = 409
        const val STATUS_UNAVAILABLE = 503
        val json = Json { ignoreUnknownKeys = true }
    }
}
