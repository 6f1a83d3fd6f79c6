package toucanrelay.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** What a caller asked for. */
internal enum class CallKind(
    val path: String,
) {
    /** May run any number of times. */
    READ("/reads/x"),

    /** May run at most once. */
    ORDER("/orders/x"),

    /** A stream that may be resumed. */
    STREAM("/streams/x"),
}

/**
 * A call as its caller saw it.
 *
 * @property status null when the connection ended without a whole answer.
 * @property body the whole body; null when there was none.
 */
internal class SeenCall(
    val id: String,
    val kind: CallKind,
    val key: String,
    val sentAtMilliseconds: Long,
    val status: Int?,
    val body: String?,
)

/** Collects what callers and targets saw, and tells which promises were broken. */
internal class Ledger {
    private val calls = ConcurrentLinkedQueue<SeenCall>()
    private val runs = ConcurrentHashMap<String, Int>()

    /** Notes a call that has ended. */
    fun noteCall(call: SeenCall) {
        calls += call
    }

    /** Notes that a target began to work on the call [id]. */
    fun noteRun(id: String) {
        runs.merge(id, 1, Int::plus)
    }

    /** Calls that got a success. */
    val answered: Int
        get() = calls.count { it.status == STATUS_OK }

    /** What is wrong with the calls; a call with [revokedKey] may not run when sent after [revokedAtMilliseconds]. */
    fun problems(revokedKey: String, revokedAtMilliseconds: Long): List<String> =
        calls.flatMap { call -> problemsOf(call) } +
            calls
                .filter { it.key == revokedKey && it.sentAtMilliseconds > revokedAtMilliseconds && runsOf(it) > 0 }
                .map { "${it.id}: ran with a revoked key" }

    private fun problemsOf(call: SeenCall): List<String> =
        listOfNotNull(
            "${call.id}: ran ${runsOf(call)} times".takeIf { call.kind == CallKind.ORDER && runsOf(call) > 1 },
            "${call.id}: answered ${call.status} and ran"
                .takeIf { call.status in NOT_RUN && call.kind == CallKind.ORDER && runsOf(call) > 0 },
            "${call.id}: success with another body: ${call.body?.take(SHOWN_CHARACTERS)}"
                .takeIf { call.status == STATUS_OK && call.body != wholeAnswer(call.kind, call.id) },
        )

    private fun runsOf(call: SeenCall) = runs[call.id] ?: 0

    internal companion object {
        private const val STATUS_OK = 200
        private const val SHOWN_CHARACTERS = 60
        private val NOT_RUN = setOf(408, 421, 429, 503)

        /** Events of a stream. */
        const val EVENTS = 12

        /** The one right answer to a call. */
        fun wholeAnswer(kind: CallKind, id: String): String =
            if (kind == CallKind.STREAM) (1..EVENTS).joinToString("") { eventOf(it) } else "whole $id"

        /** An event of a stream. */
        fun eventOf(number: Int): String = "id: $number\ndata: event $number\n\n"
    }
}
