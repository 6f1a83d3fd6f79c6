package toucanrelay.daemon.entry

import com.google.protobuf.ByteString
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import toucanrelay.core.identity.Pool
import toucanrelay.wire.Admitted
import toucanrelay.wire.AgentHello
import toucanrelay.wire.AgentLinkGrpcKt
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.CancelReply
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.Capacity
import toucanrelay.wire.Chunk
import toucanrelay.wire.End
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.Executed
import toucanrelay.wire.Failed
import toucanrelay.wire.Grant
import toucanrelay.wire.Head
import toucanrelay.wire.Header
import toucanrelay.wire.Heartbeat
import toucanrelay.wire.ProcessIdentity
import toucanrelay.wire.Refused
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.Usage
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue

typealias Serve = suspend FlowCollector<ServeEvent>.(ServeRequest) -> Unit
typealias Resume = suspend FlowCollector<ServeEvent>.(ResumeRequest) -> Unit

/** A fake agent that answers requests with the events that a test defines. */
class FakeAgent(
    private val target: String,
    private val pool: Pool = advice,
    var free: Int = 4,
    val resume: Resume = { failed("ANSWER_LOST") },
    val serve: Serve = { completeAnswer("hello") },
) : AutoCloseable {
    val served = ConcurrentLinkedQueue<ServeRequest>()
    val resumed = ConcurrentLinkedQueue<ResumeRequest>()
    val cancelled = ConcurrentLinkedQueue<CancelRequest>()
    val received = ConcurrentLinkedQueue<EntryMessage>()
    private val outgoing = ConcurrentLinkedQueue<Channel<AgentMessage>>()
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress("127.0.0.1", 0))
            .addService(Link())
            .build()
            .start()

    val port: Int
        get() = server.port

    val record get() = agentRecord(target, port)

    fun send(fill: AgentMessage.Builder.() -> Unit) {
        outgoing.forEach { it.trySend(AgentMessage.newBuilder().apply(fill).build()) }
    }

    fun announce(free: Int, draining: Boolean = false) {
        this.free = free
        send { capacity = capacity(free, draining) }
    }

    fun grant(id: Long, organisation: String) =
        send {
            grant =
                Grant
                    .newBuilder()
                    .setGrantId(id)
                    .setPool(pool.name)
                    .setOrganisation(organisation)
                    .setExpiresInMilliseconds(1_000)
                    .build()
        }

    override fun close() {
        server.shutdownNow()
    }

    private fun capacity(free: Int, draining: Boolean) =
        Capacity
            .newBuilder()
            .setLimit(4)
            .setFree(free)
            .setDraining(draining)
            .addPools(pool.name)
            .build()

    private inner class Link : AgentLinkGrpcKt.AgentLinkCoroutineImplBase() {
        override fun control(requests: Flow<EntryMessage>): Flow<AgentMessage> =
            channelFlow {
                val queue = Channel<AgentMessage>(Channel.UNLIMITED)
                outgoing.add(queue)
                val hello =
                    AgentHello
                        .newBuilder()
                        .setAgent(ProcessIdentity.newBuilder().setInstanceId("agent-$target").setIncarnation(1))
                        .setTarget(target)
                queue.send(AgentMessage.newBuilder().setHello(hello).build())
                queue.send(AgentMessage.newBuilder().setCapacity(capacity(free, false)).build())
                launch { for (message in queue) send(message) }
                launch {
                    while (true) {
                        queue.send(AgentMessage.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build())
                        delay(500)
                    }
                }
                requests.collect { received.add(it) }
            }

        override fun serve(request: ServeRequest): Flow<ServeEvent> =
            flow {
                served.add(request)
                this@FakeAgent.serve.invoke(this, request)
            }

        override fun resume(request: ResumeRequest): Flow<ServeEvent> =
            flow {
                resumed.add(request)
                this@FakeAgent.resume.invoke(this, request)
            }

        override suspend fun cancel(request: CancelRequest): CancelReply {
            cancelled.add(request)
            return CancelReply.newBuilder().setFound(true).build()
        }
    }
}

suspend fun FlowCollector<ServeEvent>.event(fill: ServeEvent.Builder.() -> Unit) =
    emit(ServeEvent.newBuilder().apply(fill).build())

suspend fun FlowCollector<ServeEvent>.admitted() = event { admitted = Admitted.getDefaultInstance() }

suspend fun FlowCollector<ServeEvent>.head(contentType: String = "application/json", status: Int = 200) =
    event {
        head =
            Head
                .newBuilder()
                .setStatus(status)
                .addHeaders(Header.newBuilder().setName("Content-Type").setValue(contentType))
                .build()
    }

suspend fun FlowCollector<ServeEvent>.chunk(offset: Long, body: String) =
    event {
        chunk =
            Chunk
                .newBuilder()
                .setOffset(offset)
                .setBody(ByteString.copyFromUtf8(body))
                .setGeneratedTokens(1)
                .build()
    }

suspend fun FlowCollector<ServeEvent>.end(bodyBytes: Long) =
    event {
        end =
            End
                .newBuilder()
                .setBodyBytes(bodyBytes)
                .setUsage(Usage.newBuilder().setPromptTokens(3).setGeneratedTokens(5))
                .build()
    }

suspend fun FlowCollector<ServeEvent>.refused(reason: String) =
    event { refused = Refused.newBuilder().setReason(reason).build() }

suspend fun FlowCollector<ServeEvent>.failed(reason: String, executed: Executed = Executed.EXECUTED_UNKNOWN) =
    event {
        failed =
            Failed
                .newBuilder()
                .setReason(reason)
                .setExecuted(executed)
                .build()
    }

suspend fun FlowCollector<ServeEvent>.completeAnswer(body: String, contentType: String = "application/json") {
    admitted()
    head(contentType)
    chunk(0, body)
    end(body.length.toLong())
}
