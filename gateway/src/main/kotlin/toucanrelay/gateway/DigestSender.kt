package toucanrelay.gateway

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart
import toucanrelay.core.target.TargetAddress
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.MemberExchange
import toucanrelay.gateway.member.OthersLoad
import toucanrelay.gateway.member.TargetLoadEntry
import toucanrelay.gateway.member.UsageEntry
import toucanrelay.gateway.target.Target

/** Tells the other members what this one has in flight, and takes what they tell. */
internal class DigestSender(
    private val parts: GatewayParts,
    private val incarnation: Long,
) {
    private val exchange = MemberExchange(parts.vertx, parts.fleet, parts.log, ::take)
    private var sequence = 0L

    /** Binds the port for digests. */
    suspend fun listen() {
        exchange.listen(TargetAddress(parts.settings.address, parts.settings.memberPort))
    }

    /** Sends the present state to all other members. */
    fun send() {
        exchange.send(
            MemberDigest(
                instance = parts.settings.instance,
                incarnation = incarnation,
                sequence = ++sequence,
                isLeaving = parts.server.isDraining,
                loads = loads(),
                usage = usage(),
                reads = parts.reads.take(),
            ),
        )
    }

    private fun loads(): List<TargetLoadEntry> =
        parts.pool
            .all()
            .filter { isWorthTelling(it) }
            .map { loadOf(it) }

    private fun usage(): List<UsageEntry> =
        parts.usage.snapshot().map { (of, rate) ->
            UsageEntry(of.value, rate.demanded.toInt(), rate.served.toInt())
        }

    private fun isWorthTelling(target: Target) =
        target.load.requests > 0 || target.readTokens.perSecond >= LEAST_READ_PER_SECOND

    private fun loadOf(target: Target) =
        TargetLoadEntry(
            target.id.value,
            target.load.requests,
            target.load.unreadTokens,
            target.load.memoryTokens,
            target.readTokens.perSecond.toInt(),
        )

    private fun take(digest: MemberDigest) {
        digest.reads.forEach { read ->
            val shared = read.parts.map { PromptPart(it.id, it.tokens) }
            parts.pool
                .find(TargetId(read.target))
                ?.residency
                ?.noteRead(shared)
        }
        takeLoads()
        parts.admission.wake()
    }

    private fun takeLoads() {
        val loads = parts.fleet.loads()
        parts.pool.all().forEach { target ->
            val others = loads[target.id] ?: OthersLoad.NONE
            target.othersLoad = others.load
            target.othersReadPerSecond = others.readTokensPerSecond
        }
    }

    private companion object {
        const val LEAST_READ_PER_SECOND = 100.0
    }
}
