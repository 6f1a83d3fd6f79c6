package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicInteger

private const val REQUEST_ID = "X-Request-Id"
private const val IDEMPOTENCY_KEY = "Idempotency-Key"

/** Body of a call that carries its idempotency key. */
@Serializable
internal data class OrderBody(
    val idempotencyKey: String? = null,
)

/**
 * Answer of a plain service to an executed call.
 *
 * @property run number of runs of the order so far, including this one.
 */
@Serializable
internal data class OrderAnswer(
    val requestId: String,
    val order: String?,
    val run: Int,
)

/** Answer to `GET /orders/{id}/runs`. */
@Serializable
internal data class RunsAnswer(
    val runs: Int,
)

/**
 * Plain service for tests that counts how often each order ran, by request identifier and by idempotency key.
 *
 * Paths under `/echo` return the request body, `/stream/{chunks}` streams chunks and `GET /orders/{key}/runs` returns
 * the run count; any other call is an order. The idempotency key is taken from the header `Idempotency-Key` or
 * from the body's member `idempotencyKey`.
 *
 * @param settings behaviour of the service.
 * @param vertx the Vert.x instance to run on; null creates one.
 */
public class PlainService(
    private val settings: PlainServiceSettings = PlainServiceSettings(),
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val connections = FreezableConnections()
    private val byRequest = RunCounter()
    private val byKey = RunCounter()
    private val slots = Semaphore(settings.concurrency)
    private val runningCalls = AtomicInteger()
    private val peakCalls = AtomicInteger()
    private val answersToLose = AtomicInteger()
    private lateinit var scope: CoroutineScope

    /** Duration of each call, in milliseconds. */
    @Volatile
    public var delayMilliseconds: Long = settings.delayMilliseconds

    /** Number of calls that ran. */
    public val totalRuns: Int
        get() = byRequest.total()

    /** Highest number of concurrent calls so far. */
    public val peakConcurrency: Int
        get() = peakCalls.get()

    /** Run counts of the orders that ran more than once, by idempotency key. */
    public val repeatedOrders: Map<String, Int>
        get() = byKey.repeated()

    /** Run counts of the calls that ran more than once, by request identifier. */
    public val repeatedRequests: Map<String, Int>
        get() = byRequest.repeated()

    /** Starts serving and returns the bound port. */
    public suspend fun start(): Int =
        deployment.start(
            StandInVerticle { verticle ->
                scope = verticle.scope
                verticle.vertx
                    .createHttpServer()
                    .connectionHandler(connections::add)
                    .requestHandler(router(verticle.vertx))
                    .listen(settings.port, settings.host)
                    .coAwait()
                    .actualPort()
            },
        )

    /** Stops serving. */
    public suspend fun stop() {
        deployment.stop()
    }

    /** Returns how often the call with this request identifier ran. */
    public fun runsOfRequest(requestId: String): Int = byRequest.runs(requestId)

    /** Returns how often the order with this idempotency key ran. */
    public fun runsOfOrder(idempotencyKey: String): Int = byKey.runs(idempotencyKey)

    /** Executes the next [calls] calls but closes their connections instead of answering. */
    public fun loseNextAnswers(calls: Int) {
        answersToLose.set(calls)
    }

    /** Permanently stops answering on the open connections without closing them; new connections work. */
    public fun freezeConnections() {
        connections.freeze()
    }

    private fun router(vertx: Vertx): Router {
        val router = Router.router(vertx)
        router.route().handler { if (!connections.isFrozen(it.request().connection())) it.next() }
        router.get("/health").handler { it.response().end() }
        router.get("/orders/:id/runs").handler { call ->
            call.response().endWithJson(RunsAnswer(byKey.runs(call.pathParam("id"))))
        }
        router.route("/stream/:chunks").handler { call ->
            run(call) { _, _ -> stream(call.request(), call.pathParam("chunks").toIntOrNull() ?: 1) }
        }
        router.route("/echo*").handler { call -> run(call) { body, _ -> echo(call.request(), body) } }
        router.route().handler { call -> run(call) { _, answer -> call.response().endWithJson(answer) } }
        return router
    }

    private fun run(call: RoutingContext, answer: suspend (Buffer, OrderAnswer) -> Unit) {
        val request = call.request()
        val pendingBody = request.body()
        scope.launch {
            val body = pendingBody.coAwait()
            val orderAnswer = slots.withPermit { execute(request, body) }
            if (connections.isFrozen(request.connection())) awaitCancellation()
            if (answersToLose.getAndUpdate { maxOf(it - 1, 0) } > 0) {
                request.connection().close()
            } else {
                answer(body, orderAnswer)
            }
        }
    }

    private suspend fun execute(request: HttpServerRequest, body: Buffer): OrderAnswer {
        val requestId = request.getHeader(REQUEST_ID).orEmpty()
        val order = request.getHeader(IDEMPOTENCY_KEY) ?: idempotencyKeyIn(body)
        val runOfRequest = byRequest.recordRun(requestId)
        val run = order?.let { byKey.recordRun(it) } ?: runOfRequest
        peakCalls.accumulateAndGet(runningCalls.incrementAndGet(), ::maxOf)
        try {
            delay(delayMilliseconds)
        } finally {
            runningCalls.decrementAndGet()
        }
        return OrderAnswer(requestId, order, run)
    }

    private fun idempotencyKeyIn(body: Buffer): String? =
        try {
            standInJson.decodeFromString<OrderBody>(body.toString()).idempotencyKey
        } catch (exception: SerializationException) {
            null
        }

    private suspend fun stream(request: HttpServerRequest, chunks: Int) {
        val response = request.response().setChunked(true).putHeader("Content-Type", "text/plain")
        repeat(chunks) { index ->
            response.write("chunk $index\n").coAwait()
            delay(settings.streamChunkMilliseconds)
        }
        response.end().coAwait()
    }

    private fun echo(request: HttpServerRequest, body: Buffer) {
        val response = request.response()
        request.getHeader("Content-Type")?.let { response.putHeader("Content-Type", it) }
        response
            .putHeader("X-Echo-Method", request.method().name())
            .putHeader("X-Echo-Path", request.uri())
            .end(body)
    }
}
