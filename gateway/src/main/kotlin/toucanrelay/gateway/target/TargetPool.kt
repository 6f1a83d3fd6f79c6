package toucanrelay.gateway.target

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.RegisteredTarget
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.Clock

/** A target that may get new work, with its registration. */
internal class ServingTarget(
    val registered: RegisteredTarget,
    val target: Target,
)

/** All targets that this process uses; confined to the event loop. */
internal class TargetPool(
    vertx: Vertx,
    private val clock: Clock,
    private val register: TargetRegistry,
) {
    private val targets = HashMap<TargetId, Target>()
    private val agent: HttpClientAgent = vertx.createHttpClient(clientOptions(), PoolOptions())

    /** Failure domains that operators have taken out of service. */
    var domainsOutOfService: PersistentSet<FailureDomainId> = persistentSetOf()

    /** Targets of [service] that may get new work. */
    fun serving(service: ServiceSettings): List<ServingTarget> =
        register.serving(service.name, domainsOutOfService).map { ServingTarget(it, targetOf(it, service)) }

    /** The target [id], if this process has used its present run. */
    fun find(id: TargetId): Target? = targets[id]

    /** All targets in use. */
    fun all(): Collection<Target> = targets.values

    /** Forgets targets that are gone and closes connections that are too old to be used. */
    fun sweep() {
        val present = register.currentTargets()
        val gone = targets.filter { (id, target) -> id !in present && target.load.requests == 0 }
        gone.forEach { (id, target) ->
            target.connections.close()
            targets.remove(id)
        }
        targets.values.forEach { it.connections.closeOldest() }
    }

    private fun targetOf(registered: RegisteredTarget, service: ServiceSettings): Target {
        val registration = registered.registration
        val known = targets[registration.id]
        if (known != null && known.incarnation == registration.incarnation) return known
        known?.connections?.close()
        val target =
            Target(registered, service, clock) { TargetConnections(agent, registration.address, clock, it) }
        targets[registration.id] = target
        return target
    }

    private fun clientOptions() =
        HttpClientOptions()
            .setKeepAlive(true)
            .setPipelining(false)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)

    private companion object {
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}
