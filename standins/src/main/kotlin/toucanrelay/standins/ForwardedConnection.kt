package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import java.util.concurrent.atomic.AtomicLong

private const val NANOSECONDS_IN_A_MILLISECOND = 1_000_000L
private const val NANOSECONDS_IN_A_SECOND = 1_000_000_000L

/**
 * One direction of a connection: decides when bytes are due and keeps their order.
 *
 * @param vertx sets the timers.
 * @param delayMilliseconds time that each byte takes.
 * @param bytesPerSecond bytes that pass in a second; 0 for no limit.
 * @param passed counts the bytes.
 */
internal class OneWay(
    private val vertx: Vertx,
    private val delayMilliseconds: () -> Long,
    private val bytesPerSecond: Long,
    private val passed: AtomicLong,
) {
    private var lastDueNanoseconds = Long.MIN_VALUE

    /** Calls [deliver] when [size] more bytes have got through; never earlier than an earlier call. */
    fun schedule(size: Int, deliver: () -> Unit) {
        val now = System.nanoTime()
        val sending = if (bytesPerSecond == 0L) 0 else size * NANOSECONDS_IN_A_SECOND / bytesPerSecond
        val due = maxOf(now + delayMilliseconds() * NANOSECONDS_IN_A_MILLISECOND, lastDueNanoseconds) + sending
        val isPending = lastDueNanoseconds > now
        lastDueNanoseconds = due
        passed.addAndGet(size.toLong())
        val wait = (due - now) / NANOSECONDS_IN_A_MILLISECOND
        if (wait <= 0 && !isPending) deliver() else vertx.setTimer(maxOf(wait, 1)) { deliver() }
    }
}

/**
 * A connection that a [CuttableLink] forwards.
 *
 * @param inbound socket of the client.
 * @param outbound socket of the target.
 * @param onClosed called when both ends are closed.
 */
internal class ForwardedConnection(
    private val inbound: NetSocket,
    private val outbound: NetSocket,
    private val onClosed: (ForwardedConnection) -> Unit,
) {
    @Volatile
    private var isSilent = false

    /** Drops all that comes from now on, an end's closing included. */
    fun silence() {
        isSilent = true
    }

    /** Closes both ends. */
    fun close() {
        inbound.close()
        outbound.close()
        onClosed(this)
    }

    /** Forwards both ways. */
    fun run(toTarget: OneWay, toClient: OneWay) {
        pump(inbound, outbound, toTarget)
        pump(outbound, inbound, toClient)
    }

    private fun pump(from: NetSocket, to: NetSocket, way: OneWay) {
        from.handler { bytes -> if (!isSilent) way.schedule(bytes.length()) { deliver(bytes, to) } }
        from.closeHandler { if (!isSilent) way.schedule(0) { close() } }
        from.exceptionHandler { }
    }

    private fun deliver(bytes: Buffer, to: NetSocket) {
        if (!isSilent) to.write(bytes)
    }
}
