package toucanrelay.daemon.fleet

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.launch
import toucanrelay.core.exchange.ExchangePace
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.time.Clock
import toucanrelay.wire.ExchangeMessage
import toucanrelay.wire.Heartbeat
import toucanrelay.wire.InstancesLeaving
import toucanrelay.wire.ServiceBatch
import java.util.concurrent.TimeUnit

/** Dependencies shared by all exchange sessions of a process. */
internal class ExchangeContext(
    val clock: Clock,
    val ledger: FleetServiceLedger,
    val bundles: HeldBundles,
    val directory: InstanceDirectory,
    val meters: MeterRegistry,
    val pace: ExchangePace = ExchangePace(),
) {
    val traffic = ControlTraffic(meters)
}

/** Ends a session whose peer violated the protocol or sent nothing for too long. */
internal class ExchangeSessionException(
    message: String,
) : RuntimeException(message)

/** Runs one end of a stream between neighbours after both sent their hello; identical for child and parent. */
internal class ExchangeSession(
    private val context: ExchangeContext,
    private val outgoing: SendChannel<ExchangeMessage>,
) {
    private val writer = BatchWriter()
    private val reader = BatchReader()
    private val incrementDelays = context.meters.timer("toucanrelay.fleet.exchange.delay")
    private val link = context.ledger.open()
    private var heartbeatsSent = 0L

    @Volatile
    private var heartbeatsReceived = 0L

    @Volatile
    private var lastReceivedAtMilliseconds = 0L

    /** Exchanges messages with the peer, whose messages arrive in [incoming], until either side ends the stream. */
    suspend fun run(scope: CoroutineScope, incoming: Flow<ExchangeMessage>) {
        lastReceivedAtMilliseconds = context.clock.nowMilliseconds()
        val senders =
            listOf(
                scope.launch { sendBatches() },
                scope.launch { sendHeartbeats() },
                scope.launch {
                    context.bundles.version
                        .drop(1)
                        .collect { sendHeartbeat() }
                },
                scope.launch { context.directory.leaving.collect { sendLeaving(it) } },
                scope.launch { enforceSilenceTimeout() },
            )
        try {
            incoming.collect { receive(it) }
        } finally {
            senders.forEach { it.cancel() }
            context.ledger.close(link)
        }
    }

    private suspend fun sendBatches() {
        while (true) {
            context.ledger.advance()
            val batch = context.ledger.nextBatch(link) ?: return
            val message = message { setBatch(writer.write(batch)) }
            send(ControlKind.SERVICE, message)
            delay(context.pace.nextDelayMilliseconds(message.serializedSize.toLong() * context.ledger.openLinkCount()))
        }
    }

    private suspend fun sendHeartbeats() {
        while (true) {
            sendHeartbeat()
            delay(HEARTBEAT_INTERVAL_MILLISECONDS)
        }
    }

    private suspend fun sendHeartbeat() {
        val message = message { setHeartbeat(context.bundles.heartbeat(++heartbeatsSent, heartbeatsReceived)) }
        send(ControlKind.HEARTBEAT, message)
    }

    private suspend fun sendLeaving(instances: Set<InstanceId>) {
        if (instances.isEmpty()) return
        val notice = InstancesLeaving.newBuilder().addAllInstanceIds(instances.map { it.value })
        send(ControlKind.LEAVING, message { setLeaving(notice) })
    }

    private suspend fun enforceSilenceTimeout() {
        while (context.clock.nowMilliseconds() - lastReceivedAtMilliseconds < SILENCE_TIMEOUT_MILLISECONDS) {
            delay(HEARTBEAT_INTERVAL_MILLISECONDS)
        }
        throw ExchangeSessionException("no message received for $SILENCE_TIMEOUT_MILLISECONDS ms")
    }

    private suspend fun send(kind: ControlKind, message: ExchangeMessage) {
        outgoing.send(message)
        context.traffic.recordSent(kind, message.serializedSize)
    }

    private suspend fun receive(message: ExchangeMessage) {
        lastReceivedAtMilliseconds = context.clock.nowMilliseconds()
        context.traffic.recordReceived(message.kind(), message.serializedSize)
        when (message.messageCase) {
            ExchangeMessage.MessageCase.BATCH -> {
                receiveBatch(message.batch)
            }

            ExchangeMessage.MessageCase.HEARTBEAT -> {
                receiveHeartbeat(message.heartbeat)
            }

            ExchangeMessage.MessageCase.BUNDLE_WANTED -> {
                context.bundles.updateFor(message.bundleWanted)?.let { update ->
                    send(ControlKind.BUNDLE, message { setBundleUpdate(update) })
                }
            }

            ExchangeMessage.MessageCase.BUNDLE_UPDATE -> {
                context.bundles.receiveUpdate(message.bundleUpdate)
            }

            ExchangeMessage.MessageCase.LEAVING -> {
                context.directory.addLeaving(message.leaving.instanceIdsList.map { InstanceId(it) })
            }

            else -> {
                throw ExchangeSessionException("unexpected message ${message.messageCase}")
            }
        }
    }

    private suspend fun receiveHeartbeat(heartbeat: Heartbeat) {
        heartbeatsReceived = heartbeat.sequence
        context.bundles.receiveHeartbeat(heartbeat)?.let { wanted ->
            send(ControlKind.BUNDLE, message { setBundleWanted(wanted) })
        }
    }

    private fun receiveBatch(message: ServiceBatch) {
        val batch = reader.read(message).getOrElse { throw ExchangeSessionException("$it") }
        if (batch.increments.isNotEmpty()) incrementDelays.record(batch.oldestMilliseconds, TimeUnit.MILLISECONDS)
        context.ledger.receive(link, batch).onFailure { throw ExchangeSessionException("$it") }
    }

    private fun message(fill: ExchangeMessage.Builder.() -> Unit): ExchangeMessage =
        ExchangeMessage.newBuilder().apply(fill).build()

    private fun ExchangeMessage.kind(): ControlKind =
        when (messageCase) {
            ExchangeMessage.MessageCase.HEARTBEAT -> ControlKind.HEARTBEAT
            ExchangeMessage.MessageCase.BATCH -> ControlKind.SERVICE
            ExchangeMessage.MessageCase.BUNDLE_WANTED, ExchangeMessage.MessageCase.BUNDLE_UPDATE -> ControlKind.BUNDLE
            ExchangeMessage.MessageCase.LEAVING -> ControlKind.LEAVING
            else -> ControlKind.HELLO
        }

    companion object {
        /** Interval between heartbeats on exchange streams. */
        const val HEARTBEAT_INTERVAL_MILLISECONDS: Long = 1_000

        /** Time without a message after which a stream is considered broken. */
        const val SILENCE_TIMEOUT_MILLISECONDS: Long = 5_000
    }
}
