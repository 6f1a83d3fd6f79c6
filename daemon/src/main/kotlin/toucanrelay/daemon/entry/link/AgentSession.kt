package toucanrelay.daemon.entry.link

import io.grpc.ManagedChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.flow.Flow
import toucanrelay.wire.AgentHello
import toucanrelay.wire.AgentLinkGrpcKt.AgentLinkCoroutineStub
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.ProcessIdentity
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest

/**
 * One connection to one run of an agent.
 *
 * @property hello the first message of the agent, which identifies it.
 */
internal class AgentSession(
    val hello: AgentHello,
    private val channel: ManagedChannel,
    private val stub: AgentLinkCoroutineStub,
    private val outgoing: SendChannel<EntryMessage>,
) {
    /** The run of the agent. */
    val agent: ProcessIdentity
        get() = hello.agent

    /** Whether the connection has been closed. */
    val isClosed: Boolean
        get() = channel.isShutdown

    fun serve(request: ServeRequest): Flow<ServeEvent> = stub.serve(request)

    fun resume(request: ResumeRequest): Flow<ServeEvent> = stub.resume(request)

    suspend fun cancel(request: CancelRequest): Boolean = stub.cancel(request).found

    /** Sends [message] on the control stream; returns false when it is closed or its queue is full. */
    fun send(message: EntryMessage): Boolean = outgoing.trySend(message).isSuccess
}
