package toucanrelay.daemon.entry.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import toucanrelay.core.identity.RequestId

/**
 * A problem document (RFC 9457).
 *
 * @property type stable URN of the reason.
 * @property title the reason in words.
 * @property status HTTP status.
 * @property detail what happened with this request.
 * @property requestId the request, for questions to the operators.
 * @property executed `"no"` when it is proved that the request did not run, else `"unknown"`.
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
