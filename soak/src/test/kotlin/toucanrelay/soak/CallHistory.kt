package toucanrelay.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Kind of a request, which decides its path. */
internal enum class CallKind(
    val path: String,
) {
    /** Idempotent: may run any number of times. */
    READ("/reads/x"),

    /** Not idempotent: must run at most once. */
    ORDER("/orders/x"),

    /** Answered with a resumable stream of events. */
    STREAM("/streams/x"),
}

/**
 * Outcome of a call as its caller observed it.
 *
 * @property status HTTP status; null without a complete response.
 * @property body complete response body; null without a complete response.
 */
internal class CallRecord(
    val id: String,
    val kind: CallKind,
    val key: String,
    val sentAtMilliseconds: Long,
    val status: Int?,
    val body: String?,
)

/** Records what callers and targets observe, and finds violations of the gateways' guarantees. */
internal class CallHistory {
    private val calls = ConcurrentLinkedQueue<CallRecord>()
    private val runs = ConcurrentHashMap<String, Int>()

    /** Records a finished call. */
    fun recordCall(call: CallRecord) {
        calls += call
    }

    /** Records that a target started to process the call [id]. */
    fun recordRun(id: String) {
        runs.merge(id, 1, Int::plus)
    }

    /** Number of calls that succeeded. */
    val successes: Int
        get() = calls.count { it.status == STATUS_OK }

    /** Describes all violations; a call with [revokedKey] must not run when sent after [revokedAtMilliseconds]. */
    fun violations(revokedKey: String, revokedAtMilliseconds: Long): List<String> =
        calls.flatMap { call -> violationsOf(call) } +
            calls
                .filter { it.key == revokedKey && it.sentAtMilliseconds > revokedAtMilliseconds && runsOf(it) > 0 }
                .map { "${it.id}: ran with a revoked key" }

    private fun violationsOf(call: CallRecord): List<String> =
        listOfNotNull(
            "${call.id}: ran ${runsOf(call)} times".takeIf { call.kind == CallKind.ORDER && runsOf(call) > 1 },
            "${call.id}: ran although answered ${call.status}"
                .takeIf { call.status in NOT_RUN_STATUSES && call.kind == CallKind.ORDER && runsOf(call) > 0 },
            "${call.id}: success with an unexpected body: ${call.body?.take(MAX_SHOWN_CHARACTERS)}"
                .takeIf { call.status == STATUS_OK && call.body != expectedBody(call.kind, call.id) },
        )

    private fun runsOf(call: CallRecord) = runs[call.id] ?: 0

    internal companion object {
        private const val STATUS_OK = 200
        private const val MAX_SHOWN_CHARACTERS = 60
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /** Number of events in a stream. */
        const val EVENTS_PER_STREAM = 12

        /** Returns the body of a correct response to the call [id]. */
        fun expectedBody(kind: CallKind, id: String): String =
            if (kind == CallKind.STREAM) (1..EVENTS_PER_STREAM).joinToString("") { eventText(it) } else "whole $id"

        /** Returns the stream event with the given [number], as sent. */
        fun eventText(number: Int): String = "id: $number\ndata: event $number\n\n"
    }
}
