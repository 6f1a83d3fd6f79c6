package toucanrelay.daemon.agent

import com.google.protobuf.ByteString
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import toucanrelay.wire.AgentLinkGrpcKt.AgentLinkCoroutineStub
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.Capacity
import toucanrelay.wire.Demand
import toucanrelay.wire.EntryHello
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.Grant
import toucanrelay.wire.GrantDeclined
import toucanrelay.wire.Heartbeat
import toucanrelay.wire.ModelCall
import toucanrelay.wire.OrganisationDemand
import toucanrelay.wire.PoolDemand
import toucanrelay.wire.ProcessIdentity
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.ServiceCall
import java.io.ByteArrayOutputStream
import java.util.concurrent.CopyOnWriteArrayList

const val TEST_TIMEOUT_MILLISECONDS = 30_000L

/** Waits until [condition] holds; fails after [TEST_TIMEOUT_MILLISECONDS]. */
suspend fun eventually(description: String, condition: suspend () -> Boolean) {
    val deadline = System.nanoTime() + TEST_TIMEOUT_MILLISECONDS * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "not within $TEST_TIMEOUT_MILLISECONDS ms: $description" }
        delay(10)
    }
}

/** An entry's side of AgentLink, controlled by a test. */
class TestEntry(
    private val agent: ProcessIdentity,
    name: String = "entry-1",
) {
    val identity: ProcessIdentity =
        ProcessIdentity
            .newBuilder()
            .setInstanceId(name)
            .setIncarnation(1)
            .build()
    val received = CopyOnWriteArrayList<AgentMessage>()
    private val outbox = Channel<EntryMessage>(Channel.UNLIMITED)

    val capacity: Capacity?
        get() = received.lastOrNull { it.hasCapacity() }?.capacity

    val grants: List<Grant>
        get() = received.filter { it.hasGrant() }.map { it.grant }

    /** Opens the control stream; sends heartbeats until the job ends if [sendsHeartbeats]. */
    fun link(scope: CoroutineScope, stub: AgentLinkCoroutineStub, sendsHeartbeats: Boolean = true): Job {
        send { setHello(EntryHello.newBuilder().setEntry(identity)) }
        return scope.launch {
            val heartbeats = launch { while (sendsHeartbeats) sendHeartbeat() }
            try {
                stub.control(outbox.consumeAsFlow()).collect { received += it }
            } finally {
                heartbeats.cancel()
            }
        }
    }

    private suspend fun sendHeartbeat() {
        send { setHeartbeat(Heartbeat.newBuilder().setSequence(1)) }
        delay(500)
    }

    fun demand(vararg organisations: OrganisationDemand) {
        val pool = PoolDemand.newBuilder().setPool(ADVICE.name).addAllOrganisations(organisations.toList())
        send { setDemand(Demand.newBuilder().addPools(pool)) }
    }

    fun decline(grant: Grant) = send { setGrantDeclined(GrantDeclined.newBuilder().setGrantId(grant.grantId)) }

    private fun send(fill: EntryMessage.Builder.() -> Unit) {
        outbox.trySend(EntryMessage.newBuilder().apply(fill).build())
    }

    fun modelRequest(
        id: String,
        tokens: Int = 8,
        streamed: Boolean = true,
        grantId: Long = 0,
        organisation: String = "depot",
        deadlineMilliseconds: Long = TEST_TIMEOUT_MILLISECONDS,
    ): ServeRequest =
        request(id, grantId, organisation, deadlineMilliseconds)
            .setModel(
                ModelCall
                    .newBuilder()
                    .setModel("advice")
                    .setStreamed(streamed)
                    .setBody(ByteString.copyFromUtf8(chatBody(id, tokens, streamed))),
            ).build()

    fun serviceRequest(
        id: String,
        method: String,
        path: String,
        body: String,
    ): ServeRequest =
        request(id, 0, "depot", TEST_TIMEOUT_MILLISECONDS)
            .setService(
                ServiceCall
                    .newBuilder()
                    .setService("bales")
                    .setMethod(method)
                    .setPath(path)
                    .setBody(ByteString.copyFromUtf8(body)),
            ).build()

    private fun request(
        id: String,
        grantId: Long,
        organisation: String,
        deadlineMilliseconds: Long,
    ) = ServeRequest
        .newBuilder()
        .setRequestId(id)
        .setEntry(identity)
        .setAgent(agent)
        .setGrantId(grantId)
        .setOrganisation(organisation)
        .setDeadlineInMilliseconds(deadlineMilliseconds)
}

/** Creates the body of a chat completion whose answer depends on [id] and has [tokens] tokens. */
fun chatBody(id: String, tokens: Int, streamed: Boolean): String =
    """{"model":"advice","messages":[{"role":"user","content":"$id"}],"max_tokens":$tokens,"stream":$streamed}"""

fun organisationDemand(name: String, waiting: Int, virtualTime: Double = 0.0): OrganisationDemand =
    OrganisationDemand
        .newBuilder()
        .setOrganisation(name)
        .setWaiting(waiting)
        .setVirtualTime(virtualTime)
        .setHeadCost(10.0)
        .setShare(1.0)
        .build()

/** Collects all events; fails after [TEST_TIMEOUT_MILLISECONDS]. */
suspend fun Flow<ServeEvent>.collectAll(): List<ServeEvent> = withTimeout(TEST_TIMEOUT_MILLISECONDS) { toList() }

/** Joins the chunks to the body; fails when their offsets, which start at [from], are not contiguous. */
fun List<ServeEvent>.body(from: Long = 0): ByteArray {
    val body = ByteArrayOutputStream()
    filter { it.hasChunk() }.forEach { event ->
        check(
            event.chunk.offset == from + body.size(),
        ) { "expected a chunk at ${from + body.size()}, got ${event.chunk.offset}" }
        event.chunk.body.writeTo(body)
    }
    return body.toByteArray()
}
