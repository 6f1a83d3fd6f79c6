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
import toucanrelay.platform.StoreRow

/** A row as members pass it on; a missing value means that the row was deleted. */
@Serializable
internal class RowEntry(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val version: Long,
    @ProtoNumber(3) val value: ByteArray? = null,
)

/**
 * A member's answer about a table.
 *
 * @property ageMilliseconds time between the moment at which the rows were right and the answer, on the member's clock.
 * @property outageEndedMillisecondsAgo as in [TableNews].
 */
@Serializable
internal class TableAnswer(
    @ProtoNumber(1) val version: Long,
    @ProtoNumber(2) val ageMilliseconds: Long,
    @ProtoNumber(3) val isWhole: Boolean,
    @ProtoNumber(4) val rows: List<RowEntry> = emptyList(),
    @ProtoNumber(5) val outageEndedMillisecondsAgo: Long? = null,
)

/** Answers other members from this process's copies of tables. */
internal class MemberTableServer(
    private val vertx: Vertx,
    private val clock: Clock,
    private val copies: Map<String, TableCopy>,
) {
    /** Binds [address]. */
    suspend fun listen(address: TargetAddress) {
        vertx
            .createHttpServer(HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS))
            .requestHandler { answer(it) }
            .listen(address.port, address.host)
            .coAwait()
    }

    private fun answer(request: HttpServerRequest) {
        val after = request.getParam(AFTER_PARAMETER)?.toLongOrNull()
        val news = copies[request.path().removePrefix(PATH)]?.newsAfter(after)
        if (news == null) {
            request.response().setStatusCode(STATUS_NOT_FOUND).end()
        } else {
            request.response().end(Buffer.buffer(ProtoBuf.encodeToByteArray(answerOf(news))))
        }
    }

    private fun answerOf(news: TableNews) =
        TableAnswer(
            version = news.version,
            ageMilliseconds = clock.nowMilliseconds() - news.confirmedAtMilliseconds,
            isWhole = news.isWhole,
            rows = news.rows.map { RowEntry(it.key, it.version, it.value) },
            outageEndedMillisecondsAgo = news.outageEndedMillisecondsAgo,
        )

    internal companion object {
        /** Before the name of a table. */
        const val PATH = "/tables/"

        /** The version that the asking member knows. */
        const val AFTER_PARAMETER = "after"
        private const val STATUS_NOT_FOUND = 404
        private const val IDLE_TIMEOUT_SECONDS = 30
    }
}

/** Asks other members for their copies of tables. */
internal class MemberTableClient(
    vertx: Vertx,
    private val clock: Clock,
) {
    private val client =
        vertx.createHttpClient(HttpClientOptions().setConnectTimeout(TIMEOUT_MILLISECONDS.toInt()).setKeepAlive(true))

    /** What the member at [address] knows of [table] beyond version [after], or why it told nothing. */
    suspend fun read(address: TargetAddress, table: String, after: Long?): Result<TableNews, String> {
        val askedAt = clock.nowMilliseconds()
        val query = if (after == null) "" else "?${MemberTableServer.AFTER_PARAMETER}=$after"
        val options =
            RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host)
                .setPort(address.port)
                .setURI(MemberTableServer.PATH + table + query)
                .setTimeout(TIMEOUT_MILLISECONDS)
        return try {
            val body =
                client
                    .request(options)
                    .compose { it.send() }
                    .compose { it.body() }
                    .coAwait()
            Ok(newsOf(ProtoBuf.decodeFromByteArray<TableAnswer>(body.bytes), askedAt))
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Err(failure.message ?: failure.javaClass.simpleName)
        }
    }

    /** The answer was written after the question was sent, so the rows were right that much before it at the earliest. */
    private fun newsOf(answer: TableAnswer, askedAt: Long) =
        TableNews(
            rows = answer.rows.map { StoreRow(it.key, it.value, it.version) },
            version = answer.version,
            isWhole = answer.isWhole,
            confirmedAtMilliseconds = askedAt - answer.ageMilliseconds,
            outageEndedMillisecondsAgo = answer.outageEndedMillisecondsAgo,
        )

    private companion object {
        const val TIMEOUT_MILLISECONDS = 900L
    }
}
