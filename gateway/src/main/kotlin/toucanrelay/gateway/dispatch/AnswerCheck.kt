package toucanrelay.gateway.dispatch

import toucanrelay.gateway.target.TargetAnswer

/**
 * Decides whether an answer belongs to the request [requestId] and continues what its caller has, as [progress] says.
 *
 * A target repeats the id of a request in its answer. Without it, an answer may be that to an earlier request, sent once
 * more, so nothing is known of this one.
 */
internal class AnswerCheck(
    private val requestId: String,
    private val progress: RequestProgress,
) {
    /** Returns whether [answer] comes from the target that the request was sent to, whatever else is wrong with it. */
    fun isOwn(answer: TargetAnswer): Boolean {
        val headers = answer.parsedHeaders
        return answer.isFinal && headers.requestId == requestId && (headers.isNotExecuted || headers.isSigned)
    }

    /** Returns why [answer] is not a valid answer of the target to the request, or null if it is valid. */
    fun problemOf(answer: TargetAnswer): String? {
        val headers = answer.parsedHeaders
        return when {
            headers.requestId == null -> "answer without exactly one request id, status ${answer.status}"
            headers.requestId != requestId -> "answer to another request"
            !answer.isFinal -> "answer with status ${answer.status}, which no final answer has"
            headers.isNotExecuted -> null
            !headers.isSigned -> "answer is not signed, status ${answer.status}"
            headers.isEncoded -> "answer has a content encoding"
            answer.isSuccess && !continuesStream(answer) -> "answer of type ${answer.mediaType} in a stream"
            else -> null
        }
    }

    private fun continuesStream(answer: TargetAnswer): Boolean =
        progress.events == 0L || answer.mediaType == progress.mediaType
}
