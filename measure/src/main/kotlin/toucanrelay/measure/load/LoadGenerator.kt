package toucanrelay.measure.load

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.math.ln
import kotlin.random.Random

private const val MIN_BACKOFF_MILLISECONDS = 20L
private const val MAX_BACKOFF_MILLISECONDS = 200L
private const val MAX_CONNECTIONS = 4_000
private const val SEED_STEP = 1_000_003L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000.0
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/**
 * Sends the load of several organisations to the entries and measures the outcomes and latencies of the calls.
 *
 * @param vertx event loops of the callers.
 * @param endpoints the entries.
 * @param loads load of each organisation.
 * @param seed seed of the random arrivals and requests.
 */
public class LoadGenerator(
    vertx: Vertx,
    private val endpoints: List<Endpoint>,
    private val loads: List<OrganisationLoad>,
    private val seed: Long,
) {
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions(),
            PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS),
        )
    private val caller = StreamingCaller(client)
    private val job = SupervisorJob()
    private val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + job)

    private val excludedEndpoints = CopyOnWriteArraySet<Endpoint>()

    @Volatile
    private var isSending = false

    /** Measurements of each organisation, in the order of the loads. */
    public val meters: List<OrganisationMeter> = loads.map { OrganisationMeter(it.organisation, it.share) }

    /** Number of calls in progress. */
    public val outstanding: Int
        get() = meters.sumOf { it.outstanding }

    /** Starts sending. */
    public fun start() {
        isSending = true
        loads.forEachIndexed { index, load ->
            val random = Random(seed * SEED_STEP + index)
            val meter = meters[index]
            when (val arrivals = load.arrivals) {
                is Arrivals.OpenLoop -> {
                    scope.launch { sendOpenLoop(load, arrivals, meter, random) }
                }

                is Arrivals.ClosedLoop -> {
                    repeat(
                        arrivals.requests,
                    ) { scope.launch { sendClosedLoop(load, it, meter, random) } }
                }
            }
        }
    }

    /** Stops sending new requests to [endpoint], as a load balancer does when an entry is not ready. */
    public fun exclude(endpoint: Endpoint) {
        excludedEndpoints += endpoint
    }

    /** Stops sending, waits up to [graceMilliseconds] for calls in progress and cancels the rest. */
    public suspend fun stop(graceMilliseconds: Long) {
        isSending = false
        withTimeoutOrNull(graceMilliseconds) { job.children.toList().joinAll() }
        job.cancelAndJoin()
        client.close().coAwait()
    }

    private suspend fun sendOpenLoop(
        load: OrganisationLoad,
        arrivals: Arrivals.OpenLoop,
        meter: OrganisationMeter,
        random: Random,
    ) {
        var number = 0
        var dueNanoseconds = System.nanoTime()
        while (isSending) {
            dueNanoseconds += arrivals.nextPauseNanoseconds(random)
            delay((dueNanoseconds - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND)
            val request = load.mix.draw(random)
            val endpoint = endpointFor(load, number++)
            if (meter.outstanding >= arrivals.maxOutstanding) {
                meter.recordDropped()
            } else {
                scope.launch { caller.call(endpoint, load.key, request, meter) }
            }
        }
    }

    private suspend fun sendClosedLoop(
        load: OrganisationLoad,
        first: Int,
        meter: OrganisationMeter,
        random: Random,
    ) {
        var number = first
        while (isSending) {
            val outcome = caller.call(endpointFor(load, number++), load.key, load.mix.draw(random), meter)
            if (outcome != CallOutcome.Complete) delay(backoffMilliseconds(outcome, random))
        }
    }

    private fun endpointFor(load: OrganisationLoad, number: Int): Endpoint {
        val candidates = if (load.entries.isEmpty()) endpoints else load.entries.map { endpoints[it] }
        val ready = candidates.filter { it !in excludedEndpoints }.ifEmpty { candidates }
        return ready[number % ready.size]
    }

    private fun backoffMilliseconds(outcome: CallOutcome, random: Random): Long {
        val requestedMilliseconds =
            (outcome as? CallOutcome.Refused)?.retryAfterMilliseconds ?: MIN_BACKOFF_MILLISECONDS
        val maxMilliseconds = requestedMilliseconds.coerceIn(MIN_BACKOFF_MILLISECONDS, MAX_BACKOFF_MILLISECONDS)
        return random.nextLong(MIN_BACKOFF_MILLISECONDS, maxMilliseconds + 1)
    }

    private fun Arrivals.OpenLoop.nextPauseNanoseconds(random: Random): Long =
        (-ln(1 - random.nextDouble()) / requestsPerSecond * NANOSECONDS_PER_SECOND).toLong()
}
