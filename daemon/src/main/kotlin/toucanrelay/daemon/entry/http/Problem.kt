package toucanrelay.daemon.entry.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import toucanrelay.core.identity.RequestId

/**
 * A problem document (RFC 9457).
 *
 * @property type URN of the reason; stable across versions.
 * @property title short description of the reason.
 * @property status HTTP status.
 * @property detail what happened to this request, in one sentence.
 * @property requestId identifier of the request, to quote in inquiries to the operators.
 * @property executed `"no"` when the request is known not to have run, else `"unknown"`.
 */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val requestId: String,
    val executed: String,
) {
    fun toJson(): String = Json.encodeToString(serializer(), this)

    companion object {
        const val MEDIA_TYPE = "application/problem+json"
        private const val TYPE_PREFIX = "urn:toucanrelay:problem:"

        fun of(refusal: Refusal, requestId: RequestId): Problem =
            Problem(
                type = TYPE_PREFIX + refusal.reason.type,
                title =
                    refusal.reason.type
                        .replace('-', ' ')
                        .replaceFirstChar { it.uppercase() },
                status = refusal.reason.status,
                detail = refusal.detail,
                requestId = requestId.value,
                executed = refusal.executed.label,
            )
    }
}
