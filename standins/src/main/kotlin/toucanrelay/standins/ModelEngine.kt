package toucanrelay.standins

import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait

/**
 * A model engine for tests: continuous batching, prefix cache, cold start, resumable streams and model orders.
 *
 * Answers depend on the request alone, so that two runs of one request can be compared byte for byte. A request field
 * `stop_after` sets the true number of tokens when the hint `max_tokens` is to be wrong.
 *
 * @param settings how it behaves.
 * @param vertx the Vert.x to run on; null for one of its own.
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

    /** What the engine counted so far. */
    public val counts: EngineCounts
        get() = core.counts()

    /** Model orders in the order in which they came. */
    public val orders: List<ModelOrder>
        get() = core.orders.toList()

    /** Requests that generate now. */
    public val running: Int
        get() = core.batch.runningRequests

    /** Reading of [System.nanoTime] when the last request reached the engine; 0 when none did. */
    public val lastRequestAtNanoseconds: Long
        get() = core.lastRequestAtNanoseconds

    /** Identity of the engine's present run. */
    public val startIdentity: String
        get() = core.life.startIdentity

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

    /** How often the request with this identifier reached the engine. */
    public fun runs(requestId: String): Int = core.runs(requestId)

    /** Makes the engine start anew, cold, without telling anyone; its streams are lost when [losesStreams]. */
    public fun turnCold(losesStreams: Boolean = false) {
        context?.runOnContext { core.restart(losesStreams) }
    }

    /** Makes the open connections silent for good, without closing them; new ones work. */
    public fun freezeConnections() {
        connections.freeze()
    }
}
