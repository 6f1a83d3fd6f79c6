package toucanrelay.daemon.fleet

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.exchange.ExchangeTree
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.membership.SuspectedEntries
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceState
import toucanrelay.wire.EntryExchangeGrpcKt
import toucanrelay.wire.ExchangeMessage
import kotlin.coroutines.resume

/** Maintains the stream of this entry to its parent in the exchange tree. */
internal class ParentConnector(
    private val context: ExchangeContext,
    private val own: EntryLocation,
    private val run: ProcessRun,
) {
    private val suspectedEntries = SuspectedEntries(context.clock, own)
    private var attached: Attachment? = null
    private var lastTrusted: List<EntryLocation> = emptyList()
    private var lastParent: EntryLocation? = null

    private class Attachment(
        val record: InstanceRecord,
        val channel: ManagedChannel,
        val job: Job,
    )

    /** Connects to the parent in the tree, or to another entry when that is unreachable, until cancelled. */
    suspend fun run() {
        try {
            coroutineScope {
                while (true) {
                    updateParent { channel -> launch { runSession(channel) } }
                    delay(CHECK_INTERVAL_MILLISECONDS)
                }
            }
        } finally {
            attached?.channel?.shutdownNow()
        }
    }

    private suspend fun updateParent(start: (ManagedChannel) -> Job) {
        val current = attached
        if (current != null && !current.job.isActive) {
            suspectedEntries.suspect(current.record.location())
            detach()
        }
        val parent = parentRecord()
        when {
            parent == null -> detach()
            parent.hasAddressOf(attached?.record) -> Unit
            else -> attach(parent, start)
        }
    }

    // The current stream is closed only once the new parent is reachable.
    private suspend fun attach(parent: InstanceRecord, start: (ManagedChannel) -> Job) {
        val channel = NettyChannelBuilder.forAddress(parent.host, parent.port).usePlaintext().build()
        if (!channel.isReachable()) {
            channel.shutdownNow()
            suspectedEntries.suspect(parent.location())
            return
        }
        detach()
        suspectedEntries.clear(parent.location())
        Logger.info { "fleet: connected to parent ${parent.instance}" }
        attached = Attachment(parent, channel, start(channel))
    }

    private fun detach() {
        attached?.run {
            job.cancel()
            channel.shutdownNow()
        }
        attached = null
    }

    private fun parentRecord(): InstanceRecord? {
        val records = context.directory.entries().filter { it.state == InstanceState.LIVE }
        val parent = parentOf(records.map { it.location() }.toSet() + own) ?: return null
        return records.firstOrNull { it.instance == parent.instance }
    }

    private fun parentOf(entries: Set<EntryLocation>): EntryLocation? {
        val trusted = suspectedEntries.withoutSuspected(entries)
        if (trusted != lastTrusted) {
            lastParent = ExchangeTree(trusted).parentOf(own)
            lastTrusted = trusted
        }
        return lastParent
    }

    private suspend fun runSession(channel: ManagedChannel) {
        try {
            coroutineScope {
                val outgoing = Channel<ExchangeMessage>(OUTGOING_BUFFER_MESSAGES)
                outgoing.send(helloOf(own, run))
                val stub = EntryExchangeGrpcKt.EntryExchangeCoroutineStub(channel)
                val incoming = stub.exchange(outgoing.consumeAsFlow()).produceIn(this)
                withTimeout(CONNECT_TIMEOUT_MILLISECONDS) { incoming.receiveHello() }
                ExchangeSession(context, outgoing).run(this, incoming.consumeAsFlow())
                outgoing.close()
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (broken: Exception) {
            Logger.info { "fleet: exchange stream to the parent ended: ${broken.message}" }
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLISECONDS = 250L
        const val CONNECT_TIMEOUT_MILLISECONDS = 2_000L
        const val OUTGOING_BUFFER_MESSAGES = 16

        fun InstanceRecord.hasAddressOf(other: InstanceRecord?): Boolean =
            other != null && instance == other.instance && host == other.host && port == other.port

        suspend fun ManagedChannel.isReachable(): Boolean =
            withTimeoutOrNull(CONNECT_TIMEOUT_MILLISECONDS) {
                var state = getState(true)
                while (state != ConnectivityState.READY && state != ConnectivityState.TRANSIENT_FAILURE) {
                    awaitChangeFrom(state)
                    state = getState(true)
                }
                state == ConnectivityState.READY
            } ?: false

        suspend fun ManagedChannel.awaitChangeFrom(state: ConnectivityState) {
            suspendCancellableCoroutine { continuation ->
                notifyWhenStateChanged(state) { if (continuation.isActive) continuation.resume(Unit) }
            }
        }
    }
}
