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
import toucanrelay.gateway.body.TurnQueue

/** A target that can receive new requests, with its registration. */
internal class ServingTarget(
    val registered: RegisteredTarget,
    val target: Target,
)

/** State of all targets that this process uses; confined to the event loop. */
internal class TargetPool(
    vertx: Vertx,
    private val clock: Clock,
    private val registry: TargetRegistry,
    private val turns: TurnQueue,
) {
    private class ServingList(
        val registered: List<RegisteredTarget>,
        val serving: List<ServingTarget>,
    )

    private val targets = HashMap<TargetId, Target>()
    private val servingLists = HashMap<String, ServingList>()
    private val agent: HttpClientAgent = vertx.createHttpClient(clientOptions(), PoolOptions())

    /** Failure domains that operators have taken out of service. */
    var domainsOutOfService: PersistentSet<FailureDomainId> = persistentSetOf()

    /** Returns the targets of [service] that can receive new requests. */
    fun serving(service: ServiceSettings): List<ServingTarget> {
        val registered = registry.serving(service.name, domainsOutOfService)
        // The registry returns the same list until something changes.
        servingLists[service.name]?.takeIf { it.registered === registered }?.let { return it.serving }
        val serving = registered.map { ServingTarget(it, getOrCreate(it, service)) }
        servingLists[service.name] = ServingList(registered, serving)
        return serving
    }

    /** Returns whether the run of [registered] can still receive new requests. */
    fun isServing(registered: RegisteredTarget): Boolean {
        val known = registry.find(registered.registration.id) ?: return false
        return known.registration.incarnation == registered.registration.incarnation &&
            known.registration.version == registered.registration.version &&
            !known.isLeaving &&
            known.registration.failureDomain !in domainsOutOfService
    }

    /** Returns the target [id], or null if this process has not used it. */
    fun find(id: TargetId): Target? = targets[id]

    /** Returns all targets in use. */
    fun all(): Collection<Target> = targets.values

    /** Removes targets that are neither registered nor in use, and closes expired idle connections. */
    fun cleanUp() {
        val registered = registry.currentTargets()
        val unused = targets.filter { (id, target) -> id !in registered && target.load.requests == 0 }
        unused.forEach { (id, target) ->
            target.connections.close()
            targets.remove(id)
        }
        targets.values.forEach { it.connections.closeExpired() }
    }

    private fun getOrCreate(registered: RegisteredTarget, service: ServiceSettings): Target {
        val registration = registered.registration
        val known = targets[registration.id]
        if (known != null && known.incarnation == registration.incarnation) return known
        known?.connections?.close()
        val target =
            Target(registered, service, clock) { TargetConnections(agent, registration.address, clock, turns, it) }
        targets[registration.id] = target
        return target
    }

    private fun clientOptions() =
        HttpClientOptions()
            .setKeepAlive(true)
            .setPipelining(false)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setSendBufferSize(SEND_BUFFER_BYTES)

    private companion object {
        const val MAX_HEADER_BYTES = 65_536

        /** What the operating system holds of a request that a target does not read counts as sent ([AnswerEnd]). */
        const val SEND_BUFFER_BYTES = 131_072
    }
}
