package toucanrelay.daemon.order

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import toucanrelay.core.order.ClaimToken
import toucanrelay.core.order.OrderRecord
import java.util.Base64

/** Encodes and decodes the rows of orders in the platform's table service as JSON. */
internal object OrderRow {
    private val json = Json { classDiscriminator = "state" }

    /** Encodes [record] as the value of its row. */
    fun encode(record: OrderRecord): String = json.encodeToString(OrderDocument.serializer(), record.toDocument())

    /** Decodes the value of a row; null when it is not a valid order record. */
    fun decode(value: String): OrderRecord? =
        try {
            json.decodeFromString(OrderDocument.serializer(), value).toRecord()
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun OrderRecord.toDocument(): OrderDocument =
        when (this) {
            is OrderRecord.Claimed -> {
                OrderDocument.Claimed(token.value, bodyDigest, expiresAtEpochMilliseconds)
            }

            is OrderRecord.Unknown -> {
                OrderDocument.Unknown(token.value, bodyDigest)
            }

            is OrderRecord.Finished<*> -> {
                OrderDocument.Finished(
                    token.value,
                    bodyDigest,
                    (answer as RecordedAnswer).toDocument(),
                )
            }
        }

    private fun OrderDocument.toRecord(): OrderRecord =
        when (this) {
            is OrderDocument.Claimed -> OrderRecord.Claimed(ClaimToken(token), bodyDigest, expiresAtEpochMilliseconds)
            is OrderDocument.Unknown -> OrderRecord.Unknown(ClaimToken(token), bodyDigest)
            is OrderDocument.Finished -> OrderRecord.Finished(ClaimToken(token), bodyDigest, answer.toAnswer())
        }

    private fun RecordedAnswer.toDocument() =
        AnswerDocument(
            status = status,
            headers = headers.map { HeaderDocument(it.name, it.value) },
            bodyBase64 = Base64.getEncoder().encodeToString(body),
        )

    private fun AnswerDocument.toAnswer() =
        RecordedAnswer(
            status = status,
            headers = headers.map { RecordedHeader(it.name, it.value) }.toPersistentList(),
            body = Base64.getDecoder().decode(bodyBase64),
        )
}

@Serializable
private sealed interface OrderDocument {
    val token: String
    val bodyDigest: String

    @Serializable
    @SerialName("claimed")
    data class Claimed(
        override val token: String,
        override val bodyDigest: String,
        val expiresAtEpochMilliseconds: Long,
    ) : OrderDocument

    @Serializable
    @SerialName("unknown")
    data class Unknown(
        override val token: String,
        override val bodyDigest: String,
    ) : OrderDocument

    @Serializable
    @SerialName("finished")
    data class Finished(
        override val token: String,
        override val bodyDigest: String,
        val answer: AnswerDocument,
    ) : OrderDocument
}

@Serializable
private data class AnswerDocument(
    val status: Int,
    val headers: List<HeaderDocument>,
    val bodyBase64: String,
)

@Serializable
private data class HeaderDocument(
    val name: String,
    val value: String,
)
