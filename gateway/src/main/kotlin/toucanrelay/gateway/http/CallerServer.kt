package toucanrelay.gateway.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import toucanrelay.core.overload.OverloadWithdrawal
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock
import toucanrelay.gateway.body.ReadLimit
import toucanrelay.http.ConnectionChannels
import toucanrelay.http.DoubtfulBody
import toucanrelay.http.RequestFramingGuard
import java.util.concurrent.TimeUnit

/** HTTP server for callers. */
internal class CallerServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val handler: ExchangeHandler,
    private val endings: EndingLog,
    private val withdrawal: OverloadWithdrawal,
    maxConnections: Int,
    private val idleTimeoutMilliseconds: () -> Long,
) {
    private var server: HttpServer? = null
    private val connections =
        IdleConnections<CallerConnection>(clock, maxConnections) { closeIdle(it, CloseReason.TOO_MANY_CONNECTIONS) }
    private val exchanges = LinkedHashSet<CallerExchange>()
    private val openByConnection = HashMap<HttpConnection, CallerConnection>()

    /** Number of callers' open connections. */
    val openConnections: Int
        get() = connections.open

    /** Number of idle connections of callers that were closed because there were too many. */
    val closedConnections: Long
        get() = connections.closed

    /** Number of requests being served. */
    @Volatile
    var active: Int = 0
        private set

    /** Whether any request has arrived. */
    @Volatile
    var hasBeenCalled: Boolean = false
        private set

    /** Whether the process is draining; like a withdrawn one, it closes each connection after its current request. */
    var isDraining: Boolean = false

    /** Binds [address]. */
    suspend fun listen(address: TargetAddress) {
        server =
            vertx
                .createHttpServer(options())
                .connectionHandler { watch(it) }
                .requestHandler { handle(it) }
                .invalidRequestHandler { refuseInvalid(it) }
                .listen(address.port, address.host)
                .coAwait()
    }

    /** Ends all requests at once, then closes the connections as soon as they have sent what was written to them. */
    suspend fun close(maxMilliseconds: Long) {
        isDraining = true
        handler.isRefusingNew = true
        exchanges.toList().forEach { it.cutShort(Cut.Shutdown) }
        server?.shutdown(maxMilliseconds, TimeUnit.MILLISECONDS)?.coAwait()
    }

    private fun watch(connection: HttpConnection) {
        ReadLimit.applyTo(ConnectionChannels.ofServer(connection))
        val opened = CallerConnection(connection)
        RequestFramingGuard.attachTo(connection) { cutDoubtful(opened, it) }
        openByConnection[connection] = opened
        connections.recordOpened(opened)
        connection.closeHandler {
            openByConnection -= connection
            connections.recordClosed(opened)
        }
    }

    /** Closes the connections on which nothing has arrived for the configured time; called about once per second. */
    fun closeTimedOut() {
        // While the event loop lags, what has arrived in time may be unread.
        val now = clock.nowMilliseconds()
        if (handler.queuedMilliseconds(now) > 0) return
        val timeout = idleTimeoutMilliseconds()
        connections.removeIdleSince(now - timeout).forEach { closeIdle(it, CloseReason.IDLE_TIMEOUT) }
        openByConnection.values
            .filter { it.closeReason == null && it.newest?.isStalled(now, timeout) == true }
            .forEach { closeStalled(it) }
    }

    private fun closeStalled(connection: CallerConnection) {
        val exchange = connection.newest ?: return
        if (exchange.hasEnded) return closeIdle(connection, CloseReason.IDLE_TIMEOUT)
        exchange.cutShort(Cut.BodyTimeout)
    }

    private fun closeIdle(connection: CallerConnection, reason: CloseReason) {
        endings.recordIdleClosed(reason)
        connection.close(reason)
    }

    private fun handle(request: HttpServerRequest) {
        val exchange = begin(request)
        val arrivedAt = exchange.readAtMilliseconds - handler.queuedMilliseconds(exchange.readAtMilliseconds)
        active++
        hasBeenCalled = true
        connections.recordRequest(exchange.connection)
        exchanges += exchange
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { handler.serve(exchange, arrivedAt) }
        exchange.recordJob(job)
        job.invokeOnCompletion {
            active--
            exchanges -= exchange
            recordEnded(exchange)
            // Covers a failure of the ending itself, after which nothing else can be said to the caller.
            if (!exchange.hasEnded && !exchange.isDisconnected) exchange.responder.abort(CloseReason.UNEXPECTED_FAILURE)
            endings.recordEnd(exchange)
            if (exchange.cut is Cut.DoubtfulBody) closeSoon(exchange.connection)
        }
        cancelOnDisconnect(exchange, job)
        exchange.connection.doubtfulBody?.let { cutDoubtful(exchange.connection, it) }
    }

    private fun begin(request: HttpServerRequest): CallerExchange {
        val connection = openByConnection[request.connection()] ?: CallerConnection(request.connection())
        val responder =
            CallerResponder(request, connection) {
                isDraining || withdrawal.isWithdrawn ||
                    connection.isNewestLast
            }
        val exchange = CallerExchange(request, connection, responder, clock.nowMilliseconds())
        connection.recordRequest(exchange)
        return exchange
    }

    /** Refuses [request], which could not be decoded, and reads nothing more from its connection. */
    private fun refuseInvalid(request: HttpServerRequest) {
        val exchange = begin(request)
        exchange.connection.recordInvalid()
        handler.refuseInvalid(exchange)
        closeSoon(exchange.connection)
    }

    /** Ends the request with [body], which is the newest one unless earlier ones of its connection are still served. */
    private fun cutDoubtful(connection: CallerConnection, body: DoubtfulBody) {
        connection.recordDoubtful(body)
        if (!connection.isNewestDoubtful) return
        connection.newest?.cutShort(Cut.DoubtfulBody(body.fault))
        if (connection.newest?.hasEnded == true) closeSoon(connection)
    }

    /** Closes [connection] once its caller had time to read the answer, which a close with unread bytes would discard. */
    private fun closeSoon(connection: CallerConnection) {
        vertx.setTimer(CLOSE_DELAY_MILLISECONDS) { connection.close(CloseReason.DOUBTFUL_FRAMING) }
    }

    /** Records the end of [exchange] as soon as its request is also read, as it need not be before a refusal. */
    private fun recordEnded(exchange: CallerExchange) {
        val end = { connections.recordEnded(exchange.connection) }
        if (exchange.isRead) end() else exchange.request.endHandler { end() }
    }

    private fun cancelOnDisconnect(exchange: CallerExchange, job: Job) {
        val response = exchange.request.response()
        // The close handler covers failed writes, since the connection closes after one.
        response.exceptionHandler { }
        response.closeHandler {
            if (!exchange.hasEnded) {
                exchange.isDisconnected = true
                job.cancel(CallerDisconnected())
            }
        }
    }

    private fun options() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true)
            .setMaxHeaderSize(RequestFramingGuard.MAX_HEADER_BYTES)
            .setMaxInitialLineLength(RequestFramingGuard.MAX_REQUEST_LINE_BYTES)
            .setAcceptBacklog(ACCEPT_BACKLOG)

    private companion object {
        const val CLOSE_DELAY_MILLISECONDS = 200L
        const val ACCEPT_BACKLOG = 1_024
    }
}
