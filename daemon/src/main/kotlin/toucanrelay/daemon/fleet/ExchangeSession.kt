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

/** What all exchange sessions of one process share. */
internal class ExchangeParts(
    val clock: Clock,
    val ledger: FleetServiceLedger,
    val bundles: HeldBundles,
    val directory: InstanceDirectory,
    val meters: MeterRegistry,
    val pace: ExchangePace = ExchangePace(),
) {
    val traffic = ControlTraffic(meters)
}

/** Ends a session whose peer broke the protocol or fell silent. */
internal class ExchangeSessionException(
    message: String,
) : RuntimeException(message)

/** One end of a stream between neighbours, after both have said hello; the same for the child and the parent. */
internal class ExchangeSession(
    private val parts: ExchangeParts,
    private val outgoing: SendChannel<ExchangeMessage>,
) {
    private val writer = BatchWriter()
    private val reader = BatchReader()
    private val delays = parts.meters.timer("toucanrelay.fleet.exchange.delay")
    private val link = parts.ledger.open()
    private var heartbeatsSent = 0L

    @Volatile
    private var heartbeatsReceived = 0L

    @Volatile
    private var lastReceivedAtMilliseconds = 0L

    /** Exchanges messages with the peer, whose next messages are [incoming], until either side ends the stream. */
    suspend fun run(scope: CoroutineScope, incoming: Flow<ExchangeMessage>) {
        lastReceivedAtMilliseconds = parts.clock.nowMilliseconds()
        val senders =
            listOf(
                scope.launch { sendBatches() },
                scope.launch { sendHeartbeats() },
                scope.launch {
                    parts.bundles.version
                        .drop(1)
                        .collect { sendHeartbeat() }
                },
                scope.launch { parts.directory.leaving.collect { sendLeaving(it) } },
                scope.launch { watchSilence() },
            )
        try {
            incoming.collect { receive(it) }
        } finally {
            senders.forEach { it.cancel() }
            parts.ledger.close(link)
        }
    }

    private suspend fun sendBatches() {
        while (true) {
            parts.ledger.advance()
            val batch = parts.ledger.nextBatch(link) ?: return
            val message = message { setBatch(writer.write(batch)) }
            send(ControlKind.SERVICE, message)
            delay(parts.pace.nextDelayMilliseconds(message.serializedSize.toLong() * parts.ledger.links()))
        }
    }

    private suspend fun sendHeartbeats() {
        while (true) {
            sendHeartbeat()
            delay(HEARTBEAT_MILLISECONDS)
        }
    }

    private suspend fun sendHeartbeat() {
        val message = message { setHeartbeat(parts.bundles.heartbeat(++heartbeatsSent, heartbeatsReceived)) }
        send(ControlKind.HEARTBEAT, message)
    }

    private suspend fun sendLeaving(instances: Set<InstanceId>) {
        if (instances.isEmpty()) return
        val notice = InstancesLeaving.newBuilder().addAllInstanceIds(instances.map { it.value })
        send(ControlKind.LEAVING, message { setLeaving(notice) })
    }

    private suspend fun watchSilence() {
        while (parts.clock.nowMilliseconds() - lastReceivedAtMilliseconds < SILENCE_LIMIT_MILLISECONDS) {
            delay(HEARTBEAT_MILLISECONDS)
        }
        throw ExchangeSessionException("nothing received for $SILENCE_LIMIT_MILLISECONDS ms")
    }

    private suspend fun send(kind: ControlKind, message: ExchangeMessage) {
        outgoing.send(message)
        parts.traffic.sent(kind, message.serializedSize)
    }

    private suspend fun receive(message: ExchangeMessage) {
        lastReceivedAtMilliseconds = parts.clock.nowMilliseconds()
        parts.traffic.received(message.kind(), message.serializedSize)
        when (message.messageCase) {
            ExchangeMessage.MessageCase.BATCH -> {
                receiveBatch(message.batch)
            }

            ExchangeMessage.MessageCase.HEARTBEAT -> {
                receiveHeartbeat(message.heartbeat)
            }

            ExchangeMessage.MessageCase.BUNDLE_WANTED -> {
                parts.bundles.update(message.bundleWanted)?.let { update ->
                    send(ControlKind.BUNDLE, message { setBundleUpdate(update) })
                }
            }

            ExchangeMessage.MessageCase.BUNDLE_UPDATE -> {
                parts.bundles.accept(message.bundleUpdate)
            }

            ExchangeMessage.MessageCase.LEAVING -> {
                parts.directory.takeNotice(message.leaving.instanceIdsList.map { InstanceId(it) })
            }

            else -> {
                throw ExchangeSessionException("unexpected message ${message.messageCase}")
            }
        }
    }

    private suspend fun receiveHeartbeat(heartbeat: Heartbeat) {
        heartbeatsReceived = heartbeat.sequence
        parts.bundles.wanted(heartbeat)?.let { wanted ->
            send(ControlKind.BUNDLE, message { setBundleWanted(wanted) })
        }
    }

    private fun receiveBatch(message: ServiceBatch) {
        val batch = reader.read(message).getOrElse { throw ExchangeSessionException("$it") }
        if (batch.increments.isNotEmpty()) delays.record(batch.oldestMilliseconds, TimeUnit.MILLISECONDS)
        parts.ledger.receive(link, batch).onFailure { throw ExchangeSessionException("$it") }
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
        /** Time between heartbeats on exchange streams. */
        const val HEARTBEAT_MILLISECONDS: Long = 1_000

        /** A stream on which nothing came for this long is taken to be dead. */
        const val SILENCE_LIMIT_MILLISECONDS: Long = 5_000
    }
}
