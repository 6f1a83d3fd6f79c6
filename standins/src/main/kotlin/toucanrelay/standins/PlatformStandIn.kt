package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait

/**
 * Platform for tests: table service, object store, weight store and instance list, with fault injection.
 *
 * @param settings behaviour of the platform.
 * @param vertx the Vert.x instance to run on; null creates one.
 */
public class PlatformStandIn(
    private val settings: PlatformSettings = PlatformSettings(),
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val state = PlatformState(settings)

    /** Faults currently injected; can be set at any time. */
    public var faults: PlatformFaults
        get() = state.faults.get()
        set(value) = state.faults.set(value)

    /** Call counters so far. */
    public val counts: PlatformCounts
        get() = state.counts()

    /** Starts serving and returns the bound port. */
    public suspend fun start(): Int =
        deployment.start(
            StandInVerticle { verticle ->
                val routes = PlatformRoutes(verticle.scope, state).router(verticle.vertx)
                verticle.vertx
                    .createHttpServer()
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

    /** Adds [instance] to the instance list, replacing any entry with the same identifier. */
    public fun putInstance(instance: ListedInstance) {
        synchronized(state.instances) { state.instances.put(instance) }
    }

    /** Removes the instance with this identifier from the instance list. */
    public fun removeInstance(instanceId: String) {
        synchronized(state.instances) { state.instances.remove(instanceId) }
    }
}
