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

/** The event that admits a request. */
internal fun admitted(isStaged: Boolean): ServeEvent =
    ServeEvent.newBuilder().setAdmitted(Admitted.newBuilder().setStaged(isStaged)).build()

/** The event for a request that the target did not get. */
internal fun refused(reason: RefusalReason, detail: String): ServeEvent {
    val refused = Refused.newBuilder().setReason(reason.name).setDetail(detail)
    if (reason.isRetryable) refused.retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS
    return ServeEvent.newBuilder().setRefused(refused).build()
}

/** The event for a request that the target may have run without its answer coming back whole. */
internal fun failed(reason: RefusalReason, detail: String): ServeEvent =
    ServeEvent
        .newBuilder()
        .setFailed(
            Failed
                .newBuilder()
                .setExecuted(Executed.EXECUTED_UNKNOWN)
                .setReason(reason.name)
                .setDetail(detail),
        ).build()

/** The event that carries the answer's status and headers. */
internal fun headEvent(head: Head): ServeEvent = ServeEvent.newBuilder().setHead(head).build()

/** The event that carries a part of the answer's body. */
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

/** The event that ends a whole answer. */
internal fun endEvent(bodyBytes: Long, usage: Usage): ServeEvent =
    ServeEvent.newBuilder().setEnd(End.newBuilder().setBodyBytes(bodyBytes).setUsage(usage)).build()
