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
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.exchange.ExchangeTree
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.membership.SuspectedEntries
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceState
import toucanrelay.wire.EntryExchangeGrpcKt
import toucanrelay.wire.ExchangeMessage
import kotlin.coroutines.resume

/** Keeps this entry's one stream to its parent in the exchange tree. */
internal class ParentConnector(
    private val parts: ExchangeParts,
    private val own: EntryPlace,
    private val run: ProcessRun,
) {
    private val suspicions = SuspectedEntries(parts.clock, own)
    private var attached: Attachment? = null
    private var lastTrusted: List<EntryPlace> = emptyList()
    private var lastParent: EntryPlace? = null

    private class Attachment(
        val record: InstanceRecord,
        val channel: ManagedChannel,
        val job: Job,
    )

    /** Connects to the parent that the tree gives, and to another when that one cannot be reached, until cancelled. */
    suspend fun run() {
        try {
            coroutineScope {
                while (true) {
                    follow { channel -> launch { session(channel) } }
                    delay(CHECK_MILLISECONDS)
                }
            }
        } finally {
            attached?.channel?.shutdownNow()
        }
    }

    private suspend fun follow(start: (ManagedChannel) -> Job) {
        val standing = attached
        if (standing != null && !standing.job.isActive) {
            suspicions.suspect(standing.record.place())
            detach()
        }
        val parent = parentRecord()
        when {
            parent == null -> detach()
            parent.hasAddressOf(attached?.record) -> Unit
            else -> attach(parent, start)
        }
    }

    // The stream that works is given up only for one that can be made.
    private suspend fun attach(parent: InstanceRecord, start: (ManagedChannel) -> Job) {
        val channel = NettyChannelBuilder.forAddress(parent.host, parent.port).usePlaintext().build()
        if (!channel.isReachable()) {
            channel.shutdownNow()
            suspicions.suspect(parent.place())
            return
        }
        detach()
        suspicions.clear(parent.place())
        Logger.info { "fleet: exchanges with parent ${parent.instance}" }
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
        val records = parts.directory.entries().filter { it.state == InstanceState.LIVE }
        val parent = parentOf(records.map { it.place() }.toSet() + own) ?: return null
        return records.firstOrNull { it.instance == parent.instance }
    }

    private fun parentOf(entries: Set<EntryPlace>): EntryPlace? {
        val trusted = suspicions.withoutSuspected(entries)
        if (trusted != lastTrusted) {
            lastParent = ExchangeTree(trusted).parentOf(own)
            lastTrusted = trusted
        }
        return lastParent
    }

    private suspend fun session(channel: ManagedChannel) {
        try {
            coroutineScope {
                val outgoing = Channel<ExchangeMessage>(OUTGOING_MESSAGES)
                outgoing.send(helloOf(own, run))
                val stub = EntryExchangeGrpcKt.EntryExchangeCoroutineStub(channel)
                val incoming = stub.exchange(outgoing.consumeAsFlow()).produceIn(this)
                withTimeout(CONNECT_LIMIT_MILLISECONDS) { incoming.receiveHello() }
                ExchangeSession(parts, outgoing).run(this, incoming.consumeAsFlow())
                outgoing.close()
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (broken: Exception) {
            Logger.info { "fleet: stream to parent ended: ${broken.message}" }
        }
    }

    private companion object {
        const val CHECK_MILLISECONDS = 250L
        const val CONNECT_LIMIT_MILLISECONDS = 2_000L
        const val OUTGOING_MESSAGES = 16

        fun InstanceRecord.hasAddressOf(other: InstanceRecord?): Boolean =
            other != null && instance == other.instance && host == other.host && port == other.port

        suspend fun ManagedChannel.isReachable(): Boolean =
            withTimeoutOrNull(CONNECT_LIMIT_MILLISECONDS) {
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
