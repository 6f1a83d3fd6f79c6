package toucanrelay.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import toucanrelay.store.instances.InstanceListAnswer
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.WriteCondition

/** The platform's services over HTTP. */
internal class HttpPlatform(
    private val client: PlatformHttpClient,
) : Platform {
    override suspend fun read(key: RowKey): Result<Row?, PlatformError> =
        client.call(PlatformCall(HttpMethod.GET, key.segments())).andThen { answer ->
            when (answer.status) {
                STATUS_NOT_FOUND -> Ok(null)
                STATUS_OK -> rowVersion(answer).map { Row(it, answer.body.toString(Charsets.UTF_8)) }
                else -> failure(answer)
            }
        }

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> =
        client
            .call(PlatformCall(HttpMethod.PUT, key.segments(), condition.toHeader(), Buffer.buffer(value)))
            .andThen { if (it.status in SUCCESS_STATUSES) rowVersion(it) else failure(it) }

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        client
            .call(PlatformCall(HttpMethod.DELETE, key.segments(), WriteCondition.Unchanged(version).toHeader()))
            .andThen { if (it.status in SUCCESS_STATUSES) Ok(Unit) else failure(it) }

    override suspend fun get(key: String): Result<ByteArray?, PlatformError> =
        client.call(PlatformCall(HttpMethod.GET, listOf(OBJECTS, key))).andThen { answer ->
            when (answer.status) {
                STATUS_NOT_FOUND -> Ok(null)
                STATUS_OK -> Ok(answer.body.bytes)
                else -> failure(answer)
            }
        }

    override suspend fun put(key: String, value: ByteArray): Result<Unit, PlatformError> =
        client
            .call(PlatformCall(HttpMethod.PUT, listOf(OBJECTS, key), body = Buffer.buffer(value)))
            .andThen { if (it.status in SUCCESS_STATUSES) Ok(Unit) else failure(it) }

    override suspend fun list(): Result<PersistentList<InstanceRecord>, PlatformError> =
        client.call(PlatformCall(HttpMethod.GET, listOf(INSTANCES))).andThen { answer ->
            if (answer.status == STATUS_OK) instances(answer) else failure(answer)
        }

    override suspend fun close() {
        client.close()
    }

    private fun instances(answer: PlatformAnswer): Result<PersistentList<InstanceRecord>, PlatformError> =
        try {
            Ok(InstanceListAnswer.parse(answer.body.toString(Charsets.UTF_8)).toPersistentList())
        } catch (malformed: SerializationException) {
            unreadable(malformed)
        } catch (malformed: IllegalArgumentException) {
            unreadable(malformed)
        }

    private fun unreadable(cause: Exception): Result<Nothing, PlatformError> =
        Err(PlatformError.AnswerLost("the list of instances cannot be read: ${cause.message}"))

    private fun rowVersion(answer: PlatformAnswer): Result<RowVersion, PlatformError> =
        answer.entityTag?.let { Ok(RowVersion(it)) }
            ?: Err(PlatformError.AnswerLost("the platform's answer has no ETag"))

    /**
     * Turns a status that is no success into an error.
     *
     * A client error and 503 say that the call was refused; any other server error leaves open what took effect.
     */
    private fun failure(answer: PlatformAnswer): Result<Nothing, PlatformError> {
        val detail = "the platform answered ${answer.status}"
        return when (answer.status) {
            STATUS_PRECONDITION_FAILED -> Err(PlatformError.Conflict(detail))
            STATUS_UNAVAILABLE, in CLIENT_ERROR_STATUSES -> Err(PlatformError.NotTaken(detail))
            else -> Err(PlatformError.AnswerLost(detail))
        }
    }

    private fun RowKey.segments(): List<String> = listOf(TABLES, table, ROWS, key)

    private fun WriteCondition.toHeader(): HttpCondition =
        when (this) {
            WriteCondition.Absent -> HttpCondition("If-None-Match", "*")
            is WriteCondition.Unchanged -> HttpCondition("If-Match", version.value)
        }

    private companion object {
        const val TABLES = "tables"
        const val ROWS = "rows"
        const val OBJECTS = "objects"
        const val INSTANCES = "instances"
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_PRECONDITION_FAILED = 412
        const val STATUS_UNAVAILABLE = 503
        val SUCCESS_STATUSES = 200..299
        val CLIENT_ERROR_STATUSES = 400..499
    }
}
