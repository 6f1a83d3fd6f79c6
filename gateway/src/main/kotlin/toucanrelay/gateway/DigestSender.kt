package toucanrelay.gateway

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart
import toucanrelay.core.target.TargetAddress
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.MemberExchange
import toucanrelay.gateway.member.OthersLoad
import toucanrelay.gateway.member.PromptReadEntry
import toucanrelay.gateway.member.TableAgeEntry
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
    private var hasNews = false

    /** Binds the port for digests. */
    suspend fun listen() {
        exchange.listen(TargetAddress(parts.settings.address, parts.settings.memberPort))
    }

    /** Sends the present state to the members of this region, and less often to those of other regions. */
    fun send() {
        sequence++
        exchange.send(digest(parts.reads.takeLocal()), parts.fleet.ownRegionAddresses)
        val far = parts.fleet.otherRegionAddresses
        if (far.isNotEmpty() && sequence % SENDS_FOR_ONE_FAR == 0L) exchange.send(digest(parts.reads.takeRemote()), far)
    }

    /** Applies what digests told since the last time. */
    fun applyNews() {
        if (!hasNews) return
        hasNews = false
        takeLoads()
        parts.admission.wake()
    }

    private fun digest(reads: List<PromptReadEntry>) =
        MemberDigest(
            instance = parts.settings.instance,
            incarnation = incarnation,
            sequence = sequence,
            isLeaving = parts.server.isDraining,
            loads = loads(),
            usage = usage(),
            reads = reads,
            failureDomain = parts.settings.failureDomain,
            tables =
                parts.copies.mapNotNull { (table, copy) ->
                    copy.ageMilliseconds?.let { TableAgeEntry(table, it) }
                },
        )

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
                ?.recordRead(shared)
        }
        hasNews = true
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
        const val SENDS_FOR_ONE_FAR = 3L
    }
}
