package toucanrelay.daemon.agent.work

import com.google.protobuf.ByteString
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.wire.Admitted
import toucanrelay.wire.Chunk
import toucanrelay.wire.End
import toucanrelay.wire.Executed
import toucanrelay.wire.Failed
import toucanrelay.wire.Head
import toucanrelay.wire.Refused
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.Usage

private const val RETRY_AFTER_MILLISECONDS = 1_000L

/** Creates the event for an admitted request. */
internal fun admittedEvent(isStaged: Boolean): ServeEvent =
    ServeEvent.newBuilder().setAdmitted(Admitted.newBuilder().setStaged(isStaged)).build()

/** Creates the event for a request that the target did not run. */
internal fun refusedEvent(reason: RefusalReason, detail: String): ServeEvent {
    val refused = Refused.newBuilder().setReason(reason.name).setDetail(detail)
    if (reason.isRetryable) refused.retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS
    return ServeEvent.newBuilder().setRefused(refused).build()
}

/** Creates the event for a request that the target may have run, but whose answer is incomplete. */
internal fun failedEvent(reason: RefusalReason, detail: String): ServeEvent =
    ServeEvent
        .newBuilder()
        .setFailed(
            Failed
                .newBuilder()
                .setExecuted(Executed.EXECUTED_UNKNOWN)
                .setReason(reason.name)
                .setDetail(detail),
        ).build()

/** Creates the event with the answer's status and headers. */
internal fun headEvent(head: Head): ServeEvent = ServeEvent.newBuilder().setHead(head).build()

/** Creates the event with the part of the answer's body at [offset]. */
internal fun chunkEvent(offset: Long, body: ByteString, generatedTokens: Int): ServeEvent =
    ServeEvent
        .newBuilder()
        .setChunk(
            Chunk
                .newBuilder()
                .setOffset(offset)
                .setBody(body)
                .setGeneratedTokens(generatedTokens),
        ).build()

/** Creates the event that ends a complete answer. */
internal fun endEvent(bodyBytes: Long, usage: Usage): ServeEvent =
    ServeEvent.newBuilder().setEnd(End.newBuilder().setBodyBytes(bodyBytes).setUsage(usage)).build()
