package toucanrelay.daemon.agent.link

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.AgentMeters
import toucanrelay.daemon.agent.work.AdmissionResult
import toucanrelay.daemon.agent.work.RequestExecutor
import toucanrelay.daemon.agent.work.admittedEvent
import toucanrelay.daemon.agent.work.failedEvent
import toucanrelay.daemon.agent.work.refusedEvent
import toucanrelay.daemon.agent.work.toProcessRun
import toucanrelay.wire.AgentLinkGrpcKt
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.CancelReply
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest

/** gRPC service that the agent offers to entries. */
internal class AgentLinkService(
    private val agent: ProcessRun,
    private val executor: RequestExecutor,
    private val streams: ControlStreams,
    private val meters: AgentMeters,
) : AgentLinkGrpcKt.AgentLinkCoroutineImplBase() {
    override fun control(requests: Flow<EntryMessage>): Flow<AgentMessage> = streams.serve(requests)

    override fun serve(request: ServeRequest): Flow<ServeEvent> =
        flow {
            when (val result = executor.admit(request)) {
                is AdmissionResult.Refused -> {
                    emit(refusedEvent(result.reason, result.detail))
                }

                is AdmissionResult.Admitted -> {
                    emit(admittedEvent(result.isStaged))
                    emitAll(result.run.answer.events(offset = 0, readerHasHead = false))
                }
            }
        }

    override fun resume(request: ResumeRequest): Flow<ServeEvent> =
        flow {
            val id = RequestId(request.requestId)
            val run = if (request.agent.toProcessRun() == agent) executor.findRun(id, request.entry) else null
            when {
                run != null -> {
                    meters.recordResumedAnswer()
                    emitAll(run.answer.events(request.offset, request.hasHead))
                }

                request.agent.toProcessRun() != agent -> {
                    emit(failedEvent(RefusalReason.ANSWER_LOST, "another run of the agent took the request"))
                }

                executor.blockUnseen(id) -> {
                    emit(refusedEvent(RefusalReason.TARGET_UNREACHABLE, "the request never came to the agent"))
                }

                else -> {
                    emit(failedEvent(RefusalReason.ANSWER_LOST, "the answer is not kept any more"))
                }
            }
        }

    override suspend fun cancel(request: CancelRequest): CancelReply =
        CancelReply.newBuilder().setFound(executor.cancel(RequestId(request.requestId), request.entry)).build()
}
