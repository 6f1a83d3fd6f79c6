package toucanrelay.measure.load

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

private const val MAX_CONNECTIONS = 512
private const val TIMEOUT_MILLISECONDS = 20_000L

/**
 * Parameters of an [OrderLoad].
 *
 * @property service plain service that executes the orders.
 * @property key bearer key of the organisation that places the orders.
 * @property callers number of concurrent callers.
 * @property maxAttempts maximum number of attempts at one order.
 * @property repeatFraction probability, 0 to 1, that a successful attempt is repeated.
 * @property pauseMilliseconds delay between two attempts and between two orders.
 */
public data class OrderPlan(
    public val service: String,
    public val key: String,
    public val callers: Int = 8,
    public val maxAttempts: Int = 4,
    public val repeatFraction: Double = 0.3,
    public val pauseMilliseconds: Long = 50,
)

/**
 * Places orders that must run at most once; repeats failed ones, and some successful ones, at the next entry.
 *
 * @param vertx event loops of the callers.
 * @param endpoints the entries.
 * @param plan parameters of the load.
 * @param seed seed for the choice of the first entry and of the orders that are repeated.
 */
public class OrderLoad(
    vertx: Vertx,
    private val endpoints: List<Endpoint>,
    private val plan: OrderPlan,
    private val seed: Long,
) {
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions(),
            PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS),
        )
    private val job = SupervisorJob()
    private val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + job)

    @Volatile
    private var isSending = false

    /** Attempts so far. */
    public val log: OrderLog = OrderLog()

    /** Starts placing orders. */
    public fun start() {
        isSending = true
        repeat(plan.callers) { caller -> scope.launch { placeOrders(caller) } }
    }

    /** Stops placing orders, waits up to [graceMilliseconds] for those in progress and cancels the rest. */
    public suspend fun stop(graceMilliseconds: Long) {
        isSending = false
        withTimeoutOrNull(graceMilliseconds) { job.children.toList().joinAll() }
        job.cancelAndJoin()
        client.close().coAwait()
    }

    private suspend fun placeOrders(caller: Int) {
        val random = Random(seed + caller)
        var number = 0
        while (isSending) {
            placeOrder("order-$seed-$caller-${number++}", random)
            delay(plan.pauseMilliseconds)
        }
    }

    private suspend fun placeOrder(idempotencyKey: String, random: Random) {
        var entry = random.nextInt(endpoints.size)
        repeat(plan.maxAttempts) {
            val attempt = attempt(endpoints[entry++ % endpoints.size], idempotencyKey)
            log.record(idempotencyKey, attempt)
            if (attempt.isSuccess && random.nextDouble() >= plan.repeatFraction) return
            delay(plan.pauseMilliseconds)
        }
    }

    private suspend fun attempt(endpoint: Endpoint, idempotencyKey: String): OrderAttempt =
        try {
            send(endpoint, idempotencyKey).coAwait()
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            OrderAttempt(status = 0, reason = exception.javaClass.simpleName, executed = "unknown")
        }

    private fun send(endpoint: Endpoint, idempotencyKey: String): Future<OrderAttempt> {
        val options =
            RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.host)
                .setPort(endpoint.port)
                .setURI("/services/${plan.service}/bales/release")
                .setIdleTimeout(TIMEOUT_MILLISECONDS)
                .putHeader("Authorization", "Bearer ${plan.key}")
                .putHeader("Content-Type", "application/json")
                .putHeader("Idempotency-Key", idempotencyKey)
        return client
            .request(options)
            .compose { it.send("""{"bale":"$idempotencyKey"}""") }
            .compose(::toAttempt)
    }

    private fun toAttempt(response: HttpClientResponse): Future<OrderAttempt> =
        response.body().map { body ->
            val problem = ProblemDocument.parse(body.toString())
            OrderAttempt(response.statusCode(), problem.reason, problem.executed)
        }
}
