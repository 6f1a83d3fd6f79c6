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

private const val SHORTEST_BACKOFF_MILLISECONDS = 20L
private const val LONGEST_BACKOFF_MILLISECONDS = 200L
private const val CONNECTIONS = 4_000
private const val SEED_STEP = 1_000_003L
private const val NANOSECONDS_IN_A_SECOND = 1_000_000_000.0
private const val NANOSECONDS_IN_A_MILLISECOND = 1_000_000L

/**
 * Sends the load of several organisations to the entries and measures what their callers see.
 *
 * @param vertx runs the callers.
 * @param endpoints the entries.
 * @param loads the organisations' load.
 * @param seed decides arrivals and requests.
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
            PoolOptions().setHttp1MaxSize(CONNECTIONS),
        )
    private val caller = StreamingCaller(client)
    private val job = SupervisorJob()
    private val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + job)

    private val withdrawn = CopyOnWriteArraySet<Endpoint>()

    @Volatile
    private var isSending = false

    /** What the callers of each organisation saw, in the order of the loads. */
    public val meters: List<OrganisationMeter> = loads.map { OrganisationMeter(it.organisation, it.share) }

    /** Calls that are open now. */
    public val outstanding: Int
        get() = meters.sumOf { it.outstanding }

    /** Starts sending. */
    public fun start() {
        isSending = true
        loads.forEachIndexed { index, load ->
            val random = Random(seed * SEED_STEP + index)
            val meter = meters[index]
            when (val arrivals = load.arrivals) {
                is Arrivals.Open -> {
                    scope.launch { sendOpen(load, arrivals, meter, random) }
                }

                is Arrivals.Backlogged -> {
                    repeat(
                        arrivals.requests,
                    ) { scope.launch { sendBacklogged(load, it, meter, random) } }
                }
            }
        }
    }

    /** Sends nothing new to [endpoint], as a balancer does when an entry announces that it is not ready. */
    public fun withdraw(endpoint: Endpoint) {
        withdrawn += endpoint
    }

    /** Sends nothing new, gives open calls [graceMilliseconds] to end and abandons the others. */
    public suspend fun stop(graceMilliseconds: Long) {
        isSending = false
        withTimeoutOrNull(graceMilliseconds) { job.children.toList().joinAll() }
        job.cancelAndJoin()
        client.close().coAwait()
    }

    private suspend fun sendOpen(
        load: OrganisationLoad,
        arrivals: Arrivals.Open,
        meter: OrganisationMeter,
        random: Random,
    ) {
        var number = 0
        var dueNanoseconds = System.nanoTime()
        while (isSending) {
            dueNanoseconds += arrivals.nextPauseNanoseconds(random)
            delay((dueNanoseconds - System.nanoTime()) / NANOSECONDS_IN_A_MILLISECOND)
            val request = load.mix.draw(random)
            val endpoint = endpointFor(load, number++)
            if (meter.outstanding >= arrivals.mostOutstanding) {
                meter.noteDropped()
            } else {
                scope.launch { caller.call(endpoint, load.key, request, meter) }
            }
        }
    }

    private suspend fun sendBacklogged(
        load: OrganisationLoad,
        first: Int,
        meter: OrganisationMeter,
        random: Random,
    ) {
        var number = first
        while (isSending) {
            val outcome = caller.call(endpointFor(load, number++), load.key, load.mix.draw(random), meter)
            if (outcome != CallOutcome.Whole) delay(backoffMilliseconds(outcome, random))
        }
    }

    private fun endpointFor(load: OrganisationLoad, number: Int): Endpoint {
        val own = if (load.entries.isEmpty()) endpoints else load.entries.map { endpoints[it] }
        val ready = own.filter { it !in withdrawn }.ifEmpty { own }
        return ready[number % ready.size]
    }

    private fun backoffMilliseconds(outcome: CallOutcome, random: Random): Long {
        val asked = (outcome as? CallOutcome.Refused)?.retryAfterMilliseconds ?: SHORTEST_BACKOFF_MILLISECONDS
        val longest = asked.coerceIn(SHORTEST_BACKOFF_MILLISECONDS, LONGEST_BACKOFF_MILLISECONDS)
        return random.nextLong(SHORTEST_BACKOFF_MILLISECONDS, longest + 1)
    }

    private fun Arrivals.Open.nextPauseNanoseconds(random: Random): Long =
        (-ln(1 - random.nextDouble()) / requestsPerSecond * NANOSECONDS_IN_A_SECOND).toLong()
}
