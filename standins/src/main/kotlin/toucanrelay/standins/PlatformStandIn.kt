package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait

/**
 * The platform's services for tests: table service, object store, weight store and list of instances, with faults.
 *
 * @param settings how it behaves.
 * @param vertx the Vert.x to run on; null for one of its own.
 */
public class PlatformStandIn(
    private val settings: PlatformSettings = PlatformSettings(),
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val state = PlatformState(settings)

    /** What goes wrong now; may be set at any time. */
    public var faults: PlatformFaults
        get() = state.faults.get()
        set(value) = state.faults.set(value)

    /** Calls answered so far. */
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

    /** Lists [instance], in place of what was listed under its name. */
    public fun putInstance(instance: ListedInstance) {
        synchronized(state.instances) { state.instances.put(instance) }
    }

    /** Takes the instance with this name off the list. */
    public fun removeInstance(instanceId: String) {
        synchronized(state.instances) { state.instances.remove(instanceId) }
    }
}
