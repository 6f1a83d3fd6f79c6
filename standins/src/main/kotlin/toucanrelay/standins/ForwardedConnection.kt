package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import java.util.concurrent.atomic.AtomicLong

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L

/**
 * Delays and rate-limits one direction of a connection while keeping the byte order.
 *
 * @param vertx Vert.x instance that runs the timers.
 * @param delayMilliseconds returns the current delay in milliseconds.
 * @param bytesPerSecond bandwidth in bytes per second; 0 for no limit.
 * @param byteCount incremented by the number of scheduled bytes.
 */
internal class TrafficShaper(
    private val vertx: Vertx,
    private val delayMilliseconds: () -> Long,
    private val bytesPerSecond: Long,
    private val byteCount: AtomicLong,
) {
    private var lastDueNanoseconds = Long.MIN_VALUE

    /** Calls [deliver] once [size] more bytes are due; deliveries stay in the order of the calls. */
    fun schedule(size: Int, deliver: () -> Unit) {
        val now = System.nanoTime()
        val transmission = if (bytesPerSecond == 0L) 0 else size * NANOSECONDS_PER_SECOND / bytesPerSecond
        val due = maxOf(now + delayMilliseconds() * NANOSECONDS_PER_MILLISECOND, lastDueNanoseconds) + transmission
        val isPending = lastDueNanoseconds > now
        lastDueNanoseconds = due
        byteCount.addAndGet(size.toLong())
        val wait = (due - now) / NANOSECONDS_PER_MILLISECOND
        if (wait <= 0 && !isPending) deliver() else vertx.setTimer(maxOf(wait, 1)) { deliver() }
    }
}

/**
 * A client connection that a [CuttableLink] forwards to the target.
 *
 * @param inbound socket of the client.
 * @param outbound socket of the target.
 * @param onClosed called after both sockets are closed.
 */
internal class ForwardedConnection(
    private val inbound: NetSocket,
    private val outbound: NetSocket,
    private val onClosed: (ForwardedConnection) -> Unit,
) {
    @Volatile
    private var isSilent = false

    /** Drops all further traffic in both directions, including the closing of either socket. */
    fun silence() {
        isSilent = true
    }

    /** Closes both sockets. */
    fun close() {
        inbound.close()
        outbound.close()
        onClosed(this)
    }

    /** Starts forwarding in both directions. */
    fun run(toTarget: TrafficShaper, toClient: TrafficShaper) {
        pump(inbound, outbound, toTarget)
        pump(outbound, inbound, toClient)
    }

    private fun pump(from: NetSocket, to: NetSocket, shaper: TrafficShaper) {
        from.handler { bytes -> if (!isSilent) shaper.schedule(bytes.length()) { deliver(bytes, to) } }
        from.closeHandler { if (!isSilent) shaper.schedule(0) { close() } }
        from.exceptionHandler { }
    }

    private fun deliver(bytes: Buffer, to: NetSocket) {
        if (!isSilent) to.write(bytes)
    }
}
