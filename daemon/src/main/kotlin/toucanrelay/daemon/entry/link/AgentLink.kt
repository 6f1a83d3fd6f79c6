package toucanrelay.daemon.entry.link

import io.grpc.ManagedChannel
import io.grpc.StatusException
import io.grpc.StatusRuntimeException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.liveness.HeartbeatDetector
import toucanrelay.core.retry.Backoff
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.wire.AgentLinkGrpcKt.AgentLinkCoroutineStub
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.EntryHello
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.Heartbeat
import toucanrelay.wire.ProcessIdentity
import kotlin.random.Random

/**
 * The link to one agent: keeps a connection open, replaces it when it breaks or goes silent, and handles its messages.
 *
 * @property record the agent's entry in the instance list.
 */
internal class AgentLink(
    val record: InstanceRecord,
    private val context: DaemonContext,
    private val tuning: EntryTuning,
    private val meters: EntryMeters,
    private val channels: ChannelFactory,
    private val listener: LinkListener,
    demandBudget: TokenBucket,
) {
    private val current = MutableStateFlow<AgentSession?>(null)
    private val attempts = MutableStateFlow(0)
    private val demand = DemandSender(tuning, demandBudget, context.clock, meters)

    /** The current connection; null while there is none. */
    val session: StateFlow<AgentSession?>
        get() = current

    /** Signals that waiting requests changed, so that a new demand report may be due. */
    fun signalDemandChange() = demand.signalChange()

    /** Records that the agent granted a slot and therefore counts one waiting request less. */
    fun recordGrant() = demand.recordGrant()

    /**
     * Waits for a connection other than [broken].
     *
     * @return null when there is none within the limit, or when it leads to another run than [agent].
     */
    suspend fun awaitSession(agent: ProcessIdentity, broken: AgentSession?, limitMilliseconds: Long): AgentSession? {
        val next =
            withTimeoutOrNull(limitMilliseconds) { current.first { it != null && it !== broken && !it.isClosed } }
        return next?.takeIf { it.agent == agent }
    }

    /** Runs [attempt]; the link is not idle until it has ended. */
    suspend fun <T> trackAttempt(attempt: suspend () -> T): T {
        attempts.update { it + 1 }
        try {
            return attempt()
        } finally {
            attempts.update { it - 1 }
        }
    }

    /** Waits until no attempt uses the link. */
    suspend fun awaitIdle() {
        attempts.first { it == 0 }
    }

    /** Keeps the link up until cancelled; [demandSource] provides the demand to report. */
    suspend fun run(demandSource: DemandSource) {
        var failures = 0
        while (true) {
            val wasConnected = connect(demandSource)
            failures = if (wasConnected) 1 else failures + 1
            delay(RECONNECT_BACKOFF.delayMilliseconds(failures, Random.Default) + 1)
        }
    }

    private suspend fun connect(demandSource: DemandSource): Boolean {
        val channel = channels.open(record.host, record.port)
        var wasConnected = false
        try {
            Connection(channel, demandSource).collect()
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: StatusException) {
            Logger.debug { "entry: link to ${record.instance} broke: ${cause.status.code}" }
        } catch (cause: StatusRuntimeException) {
            Logger.debug { "entry: link to ${record.instance} broke: ${cause.status.code}" }
        } finally {
            channel.shutdownNow()
            wasConnected = current.value != null
            if (wasConnected) onDisconnected()
        }
        return wasConnected
    }

    private fun onDisconnected() {
        current.value = null
        meters.linksBroken.increment()
        Logger.info { "entry: link to ${record.instance} closed" }
        listener.onDisconnected(this)
    }

    /** One connection with its control stream. */
    private inner class Connection(
        private val channel: ManagedChannel,
        private val demandSource: DemandSource,
    ) {
        private val stub = AgentLinkCoroutineStub(channel)
        private val controlStub = stub.withExecutor(ChannelFactory.controlExecutor)
        private val outgoing = Channel<EntryMessage>(MAX_OUTGOING_MESSAGES)
        private val detector = HeartbeatDetector(context.clock, tuning.heartbeat)
        private val established = CompletableDeferred<AgentSession>()

        @Volatile
        private var acknowledged = 0L

        suspend fun collect() =
            coroutineScope {
                outgoing.trySend(hello())
                val heartbeats = launch { sendHeartbeats() }
                val demandReports = launch { sendDemand() }
                try {
                    controlStub.control(outgoing.consumeAsFlow()).collect { receive(it) }
                } finally {
                    heartbeats.cancel()
                    demandReports.cancel()
                }
            }

        private suspend fun sendDemand() {
            val session = established.await()
            while (true) demand.sendNext(session, demandSource, this@AgentLink)
        }

        private suspend fun sendHeartbeats() {
            var sequence = 0L
            while (true) {
                sequence += 1
                send { heartbeat = context.bundleExchange.heartbeat(sequence, acknowledged) }
                delay(tuning.heartbeat.intervalMilliseconds)
                if (synchronized(detector) { detector.isSilent() }) {
                    meters.linksSilent.increment()
                    Logger.warn { "entry: link to ${record.instance} is silent; replacing the connection" }
                    channel.shutdownNow()
                }
            }
        }

        private suspend fun receive(message: AgentMessage) {
            synchronized(detector) { detector.recordMessage() }
            when (message.messageCase) {
                AgentMessage.MessageCase.HELLO -> {
                    onHello(message)
                }

                AgentMessage.MessageCase.HEARTBEAT -> {
                    onHeartbeat(message.heartbeat)
                }

                AgentMessage.MessageCase.CAPACITY -> {
                    listener.onCapacity(this@AgentLink, message.capacity)
                }

                AgentMessage.MessageCase.GRANT -> {
                    listener.onGrant(this@AgentLink, message.grant)
                }

                AgentMessage.MessageCase.CACHE_CHANGE -> {
                    listener.onCacheChange(this@AgentLink, message.cacheChange)
                }

                AgentMessage.MessageCase.BUNDLE_WANTED -> {
                    context.bundleExchange.updateFor(message.bundleWanted)?.let { update ->
                        send { bundleUpdate = update }
                    }
                }

                AgentMessage.MessageCase.BUNDLE_UPDATE -> {
                    context.bundleExchange.receiveUpdate(message.bundleUpdate)
                }

                else -> {
                    Unit
                }
            }
        }

        private fun onHello(message: AgentMessage) {
            val session = AgentSession(message.hello, channel, stub, outgoing)
            demand.reset()
            current.value = session
            Logger.info { "entry: link to ${record.instance} established" }
            listener.onConnected(this@AgentLink, session)
            established.complete(session)
        }

        private fun onHeartbeat(heartbeat: Heartbeat) {
            acknowledged = heartbeat.sequence
            context.bundleExchange.receiveHeartbeat(heartbeat)?.let { wanted -> send { bundleWanted = wanted } }
        }

        private fun hello(): EntryMessage =
            EntryMessage
                .newBuilder()
                .setHello(
                    EntryHello
                        .newBuilder()
                        .setEntry(context.run.toWire())
                        .setRegion(context.settings.region)
                        .setFailureDomain(context.settings.failureDomain),
                ).build()

        private fun send(fill: EntryMessage.Builder.() -> Unit) {
            outgoing.trySend(EntryMessage.newBuilder().apply(fill).build())
        }
    }

    private companion object {
        const val MAX_OUTGOING_MESSAGES = 256
        val RECONNECT_BACKOFF = Backoff(baseMilliseconds = 50, capMilliseconds = 1_000)
    }
}
