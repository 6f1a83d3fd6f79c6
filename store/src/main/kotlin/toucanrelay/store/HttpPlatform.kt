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
import toucanrelay.store.instances.InstanceListResponse
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.WriteCondition

/** Calls the platform's services over HTTP. */
internal class HttpPlatform(
    private val client: PlatformHttpClient,
) : Platform {
    override suspend fun read(key: RowKey): Result<Row?, PlatformError> =
        client.call(PlatformCall(HttpMethod.GET, key.segments())).andThen { response ->
            when (response.status) {
                STATUS_NOT_FOUND -> Ok(null)
                STATUS_OK -> rowVersion(response).map { Row(it, response.body.toString(Charsets.UTF_8)) }
                else -> failure(response)
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
        client.call(PlatformCall(HttpMethod.GET, listOf(OBJECTS, key))).andThen { response ->
            when (response.status) {
                STATUS_NOT_FOUND -> Ok(null)
                STATUS_OK -> Ok(response.body.bytes)
                else -> failure(response)
            }
        }

    override suspend fun put(key: String, value: ByteArray): Result<Unit, PlatformError> =
        client
            .call(PlatformCall(HttpMethod.PUT, listOf(OBJECTS, key), body = Buffer.buffer(value)))
            .andThen { if (it.status in SUCCESS_STATUSES) Ok(Unit) else failure(it) }

    override suspend fun list(): Result<PersistentList<InstanceRecord>, PlatformError> =
        client.call(PlatformCall(HttpMethod.GET, listOf(INSTANCES))).andThen { response ->
            if (response.status == STATUS_OK) parseInstances(response) else failure(response)
        }

    override suspend fun close() {
        client.close()
    }

    private fun parseInstances(response: PlatformResponse): Result<PersistentList<InstanceRecord>, PlatformError> =
        try {
            Ok(InstanceListResponse.parse(response.body.toString(Charsets.UTF_8)).toPersistentList())
        } catch (malformed: SerializationException) {
            malformedList(malformed)
        } catch (malformed: IllegalArgumentException) {
            malformedList(malformed)
        }

    private fun malformedList(cause: Exception): Result<Nothing, PlatformError> =
        Err(PlatformError.OutcomeUnknown("the list of instances is malformed: ${cause.message}"))

    private fun rowVersion(response: PlatformResponse): Result<RowVersion, PlatformError> =
        response.entityTag?.let { Ok(RowVersion(it)) }
            ?: Err(PlatformError.OutcomeUnknown("the platform's response has no ETag"))

    /**
     * Converts a response without success into an error.
     *
     * A client error or 503 means that the call was refused; after any other status a write may have taken effect.
     */
    private fun failure(response: PlatformResponse): Result<Nothing, PlatformError> {
        val detail = "the platform responded with status ${response.status}"
        return when (response.status) {
            STATUS_PRECONDITION_FAILED -> Err(PlatformError.Conflict(detail))
            STATUS_UNAVAILABLE, in CLIENT_ERROR_STATUSES -> Err(PlatformError.NotExecuted(detail))
            else -> Err(PlatformError.OutcomeUnknown(detail))
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
