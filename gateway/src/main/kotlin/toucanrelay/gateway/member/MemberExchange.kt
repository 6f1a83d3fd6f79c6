@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.datagram.DatagramSocketOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.log.EventLog

/** Exchanges digests with the other members as UDP datagrams. */
internal class MemberExchange(
    vertx: Vertx,
    private val clock: Clock,
    private val view: FleetView,
    private val log: EventLog,
    private val meters: GatewayMeters,
    private val onDigest: (MemberDigest) -> Unit,
) {
    private val socket: DatagramSocket =
        vertx.createDatagramSocket(
            DatagramSocketOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES),
        )

    private var failuresUnloggedUntilMilliseconds = Long.MIN_VALUE

    /** Binds the socket to [address]. */
    suspend fun listen(address: TargetAddress) {
        socket.handler { packet ->
            receive(packet.data(), TargetAddress(packet.sender().host(), packet.sender().port()))
        }
        socket.listen(address.port, address.host).coAwait()
    }

    /**
     * Sends [digest] to [receivers], and returns the prompt reads that have no place in it.
     *
     * Lost datagrams are not sent again, because the next digests make up for them.
     */
    fun send(digest: MemberDigest, receivers: List<TargetAddress>): List<PromptReadEntry> {
        val encoded = DigestEncoder.encode(digest)
        recordDropped(encoded.droppedEntries)
        encoded.datagrams.forEach { bytes ->
            meters.digestBytes.record(bytes.size.toDouble())
            val buffer = Buffer.buffer(bytes)
            receivers.forEach { receiver -> send(buffer, receiver) }
        }
        return encoded.unsentReads
    }

    private fun send(datagram: Buffer, receiver: TargetAddress) {
        socket.send(datagram, receiver.port, receiver.host).onFailure { recordUnsent(datagram, receiver, it) }
    }

    private fun recordUnsent(datagram: Buffer, receiver: TargetAddress, cause: Throwable) {
        meters.unsentDigests.increment()
        if (!mayLogFailure()) return
        log.write("digest-not-sent", "to" to receiver, "bytes" to datagram.length(), "detail" to cause.toString())
    }

    private fun recordDropped(entries: Int) {
        if (entries == 0) return
        meters.droppedDigestEntries.increment(entries.toDouble())
        if (mayLogFailure()) log.write("digest-incomplete", "entries" to entries)
    }

    /** Returns whether a failure may be logged, which would repeat with each digest. */
    private fun mayLogFailure(): Boolean {
        val now = clock.nowMilliseconds()
        if (now < failuresUnloggedUntilMilliseconds) return false
        failuresUnloggedUntilMilliseconds = now + FAILURE_LOG_PERIOD_MILLISECONDS
        return true
    }

    private fun receive(data: Buffer, from: TargetAddress) {
        val digest = decode(data, from) ?: return
        if (view.recordDigest(digest, from)) onDigest(digest)
    }

    private fun decode(data: Buffer, from: TargetAddress): MemberDigest? =
        try {
            ProtoBuf.decodeFromByteArray<MemberDigest>(data.bytes).withoutOddEntries()
        } catch (malformed: Exception) {
            log.write("digest-unreadable", "from" to from, "detail" to malformed.toString().take(MAX_DETAIL_CHARACTERS))
            null
        }

    private companion object {
        /** A datagram longer than the buffer would be truncated, and a small buffer would drop datagrams under load. */
        const val RECEIVE_BUFFER_BYTES = 65_536
        const val MAX_DETAIL_CHARACTERS = 200
        const val FAILURE_LOG_PERIOD_MILLISECONDS = 10_000L
    }
}
