package toucanrelay.daemon.agent.link

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.AgentMeters
import toucanrelay.daemon.agent.work.Offer
import toucanrelay.daemon.agent.work.WorkDesk
import toucanrelay.daemon.agent.work.admitted
import toucanrelay.daemon.agent.work.failed
import toucanrelay.daemon.agent.work.refused
import toucanrelay.daemon.agent.work.toRun
import toucanrelay.wire.AgentLinkGrpcKt
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.CancelReply
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest

/** The agent's services for entries. */
internal class AgentLinkService(
    private val agent: ProcessRun,
    private val desk: WorkDesk,
    private val streams: ControlStreams,
    private val meters: AgentMeters,
) : AgentLinkGrpcKt.AgentLinkCoroutineImplBase() {
    override fun control(requests: Flow<EntryMessage>): Flow<AgentMessage> = streams.serve(requests)

    override fun serve(request: ServeRequest): Flow<ServeEvent> =
        flow {
            when (val offer = desk.offer(request)) {
                is Offer.Refused -> {
                    emit(refused(offer.reason, offer.detail))
                }

                is Offer.Taken -> {
                    emit(admitted(offer.isStaged))
                    emitAll(offer.run.answer.events(offset = 0, readerHasHead = false))
                }
            }
        }

    override fun resume(request: ResumeRequest): Flow<ServeEvent> =
        flow {
            val id = RequestId(request.requestId)
            val run = if (request.agent.toRun() == agent) desk.resume(id, request.entry) else null
            when {
                run != null -> {
                    meters.answerResumed()
                    emitAll(run.answer.events(request.offset, request.hasHead))
                }

                request.agent.toRun() != agent -> {
                    emit(failed(RefusalReason.ANSWER_LOST, "another run of the agent took the request"))
                }

                desk.bar(id) -> {
                    emit(refused(RefusalReason.TARGET_UNREACHABLE, "the request never came to the agent"))
                }

                else -> {
                    emit(failed(RefusalReason.ANSWER_LOST, "the answer is not kept any more"))
                }
            }
        }

    override suspend fun cancel(request: CancelRequest): CancelReply =
        CancelReply.newBuilder().setFound(desk.cancel(RequestId(request.requestId), request.entry)).build()
}
