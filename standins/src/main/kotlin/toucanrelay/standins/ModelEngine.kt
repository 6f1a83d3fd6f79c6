package toucanrelay.standins

import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait

/**
 * Model engine for tests with continuous batching, prefix cache, cold start, resumable streams and model orders.
 *
 * Answers depend only on the request, so that two runs of a request can be compared byte for byte. The request field
 * `stop_after` sets the actual number of tokens for tests in which the hint `max_tokens` is wrong.
 *
 * @param settings behaviour of the engine.
 * @param vertx the Vert.x instance to run on; null creates one.
 */
public class ModelEngine(
    private val settings: EngineSettings = EngineSettings(),
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val core = EngineCore(settings)
    private val connections = FreezableConnections()

    @Volatile
    private var context: Context? = null

    /** Current counters. */
    public val counts: EngineCounts
        get() = core.counts()

    /** Model orders in order of arrival, including rejected ones. */
    public val orders: List<ModelOrder>
        get() = core.orders.toList()

    /** Number of requests that occupy a slot. */
    public val running: Int
        get() = core.batch.runningRequests

    /** [System.nanoTime] at the arrival of the last request; 0 before the first one. */
    public val lastRequestAtNanoseconds: Long
        get() = core.lastRequestAtNanoseconds

    /** Identity of the engine's current run; changes at each restart. */
    public val startIdentity: String
        get() = core.lifecycle.startIdentity

    /** Starts serving and returns the bound port. */
    public suspend fun start(): Int =
        deployment.start(
            StandInVerticle { verticle ->
                context = verticle.vertx.orCreateContext
                core.start(verticle.scope)
                val routes = EngineRoutes(verticle.scope, core, connections).router(verticle.vertx)
                verticle.vertx
                    .createHttpServer(HttpServerOptions())
                    .connectionHandler(connections::add)
                    .requestHandler(routes)
                    .listen(settings.port, settings.host)
                    .coAwait()
                    .actualPort()
            },
        )

    /** Stops serving. */
    public suspend fun stop() {
        deployment.stop()
    }

    /** Returns how often the request with this identifier reached the engine. */
    public fun runs(requestId: String): Int = core.runs(requestId)

    /** Restarts the engine cold without notice to its clients; cancels all streams if [losesStreams] is true. */
    public fun restartCold(losesStreams: Boolean = false) {
        context?.runOnContext { core.restart(losesStreams) }
    }

    /** Permanently stops answering on the open connections without closing them; new connections work. */
    public fun freezeConnections() {
        connections.freeze()
    }
}
