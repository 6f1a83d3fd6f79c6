package toucanrelay.gateway.http

import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.Job

/**
 * A request of a caller and how far it has come.
 *
 * @property readAtMilliseconds when its head was read, which may be some time after its arrival.
 */
internal class CallerExchange(
    val request: HttpServerRequest,
    val connection: CallerConnection,
    val responder: CallerResponder,
    val readAtMilliseconds: Long,
) {
    private var arrivedBytes = 0L
    private var progressedAtMilliseconds = readAtMilliseconds

    /** The work on the request once it is accepted; null before. */
    var work: RequestWork? = null

    /** Whether the connection was closed, by the caller or by this process, before the request had ended. */
    var isDisconnected: Boolean = false

    /** Why the request is ended before its work is done; null unless it is. */
    var cut: Cut? = null
        private set

    private var job: Job? = null

    /** Whether a complete response was written or the connection was closed within it. */
    val hasEnded: Boolean
        get() = responder.hasEnded

    /** Records that [job] serves the request. */
    fun recordJob(job: Job) {
        this.job = job
    }

    /** Ends the work on the request now, for [reason]. */
    fun cutShort(reason: Cut) {
        cut = reason
        job?.cancel()
    }

    /** Returns whether the rest of the request has not arrived for [milliseconds]; called about once per second. */
    fun isStalled(nowMilliseconds: Long, milliseconds: Long): Boolean {
        if (isRead) return false
        if (request.bytesRead() != arrivedBytes) progressedAtMilliseconds = nowMilliseconds
        arrivedBytes = request.bytesRead()
        return nowMilliseconds - progressedAtMilliseconds >= milliseconds
    }

    /** Whether the whole request was read. */
    val isRead: Boolean
        get() = request.isEnded

    /** Whether the request was sent to a target, so that it may have run. */
    val wasSent: Boolean
        get() = work?.wasSent == true
}
