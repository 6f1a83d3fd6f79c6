@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock
import toucanrelay.http.RequestFramingGuard
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion

/** A row in a [TableAnswer]; null as [value] means that the row was deleted. */
@Serializable
internal class RowEntry(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val version: Long,
    @ProtoNumber(3) val value: ByteArray? = null,
)

/**
 * A member's response to a request for a table.
 *
 * @property version number of the version in [era].
 * @property ageMilliseconds time from when the rows were current until the response, on the member's clock.
 * @property outageEndedMillisecondsAgo as in [TableUpdate].
 */
@Serializable
internal class TableAnswer(
    @ProtoNumber(1) val version: Long,
    @ProtoNumber(2) val ageMilliseconds: Long,
    @ProtoNumber(3) val isWhole: Boolean,
    @ProtoNumber(4) val rows: List<RowEntry> = emptyList(),
    @ProtoNumber(5) val outageEndedMillisecondsAgo: Long? = null,
    @ProtoNumber(6) val era: Long = 0,
)

/** Serves this process's copies of tables to other members over HTTP. */
internal class TableCopyServer(
    private val vertx: Vertx,
    private val clock: Clock,
    private val copies: Map<String, TableCopy>,
) {
    /** Binds [address]. */
    suspend fun listen(address: TargetAddress) {
        vertx
            .createHttpServer(HttpServerOptions().setHttp2ClearTextEnabled(false).setIdleTimeout(IDLE_TIMEOUT_SECONDS))
            .connectionHandler { RequestFramingGuard.attachTo(it) }
            .requestHandler { answer(it) }
            .listen(address.port, address.host)
            .coAwait()
    }

    private fun answer(request: HttpServerRequest) {
        val era = request.getParam(ERA_PARAMETER)?.toLongOrNull() ?: 0
        val after = request.getParam(AFTER_PARAMETER)?.toLongOrNull()?.let { StoreVersion(era, it) }
        val update = copies[request.path().removePrefix(PATH)]?.updateSince(after)
        if (update == null) {
            request.response().setStatusCode(STATUS_NOT_FOUND).end()
        } else {
            request.response().end(Buffer.buffer(ProtoBuf.encodeToByteArray(answerOf(update))))
        }
    }

    private fun answerOf(update: TableUpdate) =
        TableAnswer(
            version = update.version.number,
            era = update.version.era,
            ageMilliseconds = clock.nowMilliseconds() - update.confirmedAtMilliseconds,
            isWhole = update.isWhole,
            rows = update.rows.map { RowEntry(it.key, it.version, it.value) },
            outageEndedMillisecondsAgo = update.outageEndedMillisecondsAgo,
        )

    internal companion object {
        /** Path prefix, followed by the name of a table. */
        const val PATH = "/tables/"

        /** Query parameter with the version of the requesting member's copy. */
        const val AFTER_PARAMETER = "after"

        /** Query parameter with the era of that version; zero by default. */
        const val ERA_PARAMETER = "era"
        private const val STATUS_NOT_FOUND = 404
        private const val IDLE_TIMEOUT_SECONDS = 30
    }
}

/** Reads copies of tables from other members over HTTP. */
internal class TableCopyClient(
    vertx: Vertx,
    private val clock: Clock,
) {
    private val client =
        vertx.createHttpClient(HttpClientOptions().setConnectTimeout(TIMEOUT_MILLISECONDS.toInt()).setKeepAlive(true))

    /**
     * Reads the changes of [table] after version [after] from the member at [address], or all rows if [after] is null.
     *
     * The error describes why the read failed.
     */
    suspend fun read(address: TargetAddress, table: String, after: StoreVersion?): Result<TableUpdate, String> {
        val requestedAt = clock.nowMilliseconds()
        val query =
            after
                ?.let { "?${TableCopyServer.AFTER_PARAMETER}=${it.number}&${TableCopyServer.ERA_PARAMETER}=${it.era}" }
                .orEmpty()
        val options =
            RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host)
                .setPort(address.port)
                .setURI(TableCopyServer.PATH + table + query)
                .setTimeout(TIMEOUT_MILLISECONDS)
        return try {
            val body =
                client
                    .request(options)
                    .compose { it.send() }
                    .compose { it.body() }
                    .coAwait()
            Ok(updateOf(ProtoBuf.decodeFromByteArray<TableAnswer>(body.bytes), requestedAt))
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Err(failure.message ?: failure.javaClass.simpleName)
        }
    }

    /**
     * Converts [answer] to an update with times on this process's clock.
     *
     * The member responds after the request is sent, so counting the age back from [requestedAt] never makes the rows
     * seem more recent than they are.
     */
    private fun updateOf(answer: TableAnswer, requestedAt: Long) =
        TableUpdate(
            rows = answer.rows.map { StoreRow(it.key, it.value, it.version) },
            version = StoreVersion(answer.era, answer.version),
            isWhole = answer.isWhole,
            confirmedAtMilliseconds = requestedAt - answer.ageMilliseconds.coerceIn(AGES_MILLISECONDS),
            outageEndedMillisecondsAgo = answer.outageEndedMillisecondsAgo?.coerceIn(AGES_MILLISECONDS),
        )

    private companion object {
        const val TIMEOUT_MILLISECONDS = 900L

        /** A member cannot have seen the future, and ages above a century are none that a clock could show. */
        val AGES_MILLISECONDS = 0..3_155_760_000_000
    }
}
