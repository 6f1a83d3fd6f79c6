package toucanrelay.gateway

import toucanrelay.core.placement.TargetLoad
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.MemberExchange
import toucanrelay.gateway.member.TargetLoadEntry
import toucanrelay.gateway.member.UsageEntry
import toucanrelay.gateway.target.Target

/** Tells the other members what this one has in flight, and takes what they tell. */
internal class DigestSender(
    private val parts: GatewayParts,
    private val incarnation: Long,
) {
    private val exchange = MemberExchange(parts.vertx, parts.fleet) { takeLoads() }
    private var sequence = 0L

    /** Binds the port for digests. */
    suspend fun listen() {
        val port = parts.settings.memberPort
        exchange.listen(toucanrelay.core.target.TargetAddress(parts.settings.address, port))
    }

    /** Sends the present state to all other members. */
    fun send() {
        exchange.send(
            MemberDigest(
                instance = parts.settings.instance,
                incarnation = incarnation,
                sequence = ++sequence,
                isLeaving = parts.server.isDraining,
                loads =
                    parts.pool
                        .all()
                        .filter { it.load.requests > 0 }
                        .map { loadOf(it) },
                usage =
                    parts.usage.snapshot().map { (of, rate) ->
                        UsageEntry(of.value, rate.demanded.toInt(), rate.served.toInt())
                    },
            ),
        )
    }

    /** Refreshes what the others have at each target. */
    fun takeLoads() {
        val loads = parts.fleet.loads()
        parts.pool.all().forEach { it.othersLoad = loads[it.id] ?: TargetLoad.NONE }
        parts.admission.wake()
    }

    private fun loadOf(target: Target) =
        TargetLoadEntry(target.id.value, target.load.requests, target.load.unreadTokens, target.load.memoryTokens)
}
