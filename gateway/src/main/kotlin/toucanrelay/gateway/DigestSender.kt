package toucanrelay.gateway

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart
import toucanrelay.core.target.TargetAddress
import toucanrelay.gateway.member.CrashEvidenceExchange
import toucanrelay.gateway.member.LeavingRunExchange
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.MemberExchange
import toucanrelay.gateway.member.OthersLoad
import toucanrelay.gateway.member.PromptReadEntry
import toucanrelay.gateway.member.RegionServedEntry
import toucanrelay.gateway.member.ServiceDemandEntry
import toucanrelay.gateway.member.StatedLimitExchange
import toucanrelay.gateway.member.StreamOriginExchange
import toucanrelay.gateway.member.TableAgeEntry
import toucanrelay.gateway.member.TargetLoadEntry
import toucanrelay.gateway.member.UsageEntry
import toucanrelay.gateway.target.Target

/** Sends the state of this member to the other members and applies the digests that they send. */
internal class DigestSender(
    private val components: GatewayComponents,
    private val incarnation: Long,
    private val isReady: () -> Boolean,
) {
    private val crashEvidence = CrashEvidenceExchange(components.quarantine, components.clock)
    private val statedLimits = StatedLimitExchange(components.statedLimits, components.clock)
    private val leavingRuns = LeavingRunExchange(components.leavingStatements)
    private val streamOrigins = StreamOriginExchange(components.streamMemory, components.clock)
    private val memberExchange =
        MemberExchange(
            components.vertx,
            components.clock,
            components.fleet,
            components.log,
            components.meters,
            ::receive,
        )
    private var sequence = 0L
    private var hasUnappliedDigests = false

    /** Binds the UDP port for digests. */
    suspend fun listen() {
        memberExchange.listen(TargetAddress(components.settings.address, components.settings.memberPort))
    }

    /** Sends the current state to the members of this region, and less often to those of other regions. */
    fun send() {
        sequence++
        val reads = components.recentReads
        reads.returnForOwnRegion(send(reads.takeForOwnRegion(), components.fleet.ownRegionAddresses))
        val otherRegions = components.fleet.otherRegionAddresses
        if (otherRegions.isNotEmpty() && sequence % SENDS_PER_OTHER_REGION_SEND == 0L) {
            reads.returnForOtherRegions(send(reads.takeForOtherRegions(), otherRegions))
        }
    }

    private fun send(reads: List<PromptReadEntry>, receivers: List<TargetAddress>): List<PromptReadEntry> =
        memberExchange.send(digest(reads), receivers)

    /** Applies the digests received since the last call. */
    fun applyReceived() {
        if (!hasUnappliedDigests) return
        hasUnappliedDigests = false
        updateOthersLoads()
        components.admission.wake()
    }

    private fun digest(reads: List<PromptReadEntry>) =
        MemberDigest(
            instance = components.settings.instance,
            incarnation = incarnation,
            sequence = sequence,
            isLeaving = components.server.isDraining,
            loads = loads(),
            usage = usage(),
            reads = reads,
            failureDomain = components.settings.failureDomain,
            tables =
                components.tableCopies.mapNotNull { (table, copy) ->
                    copy.ageMilliseconds?.let { TableAgeEntry(table, it, copy.version?.era ?: 0) }
                },
            servedByRegion = servedByRegion(),
            isReady = isReady(),
            crashEvidence = crashEvidence.shared(),
            demand = demand(),
            statedLimits = statedLimits.shared(),
            leavingRuns = leavingRuns.shared(),
            streamOrigins = streamOrigins.shared(),
            versions = streamOrigins.sharedVersions(),
            knowsVersions = components.streamMemory.isRestored,
        )

    private fun loads(): List<TargetLoadEntry> =
        components.pool
            .all()
            .filter { isReported(it) }
            .map { loadOf(it) }

    private fun usage(): List<UsageEntry> =
        components.organisationUsage.snapshot().map { (key, rate) ->
            UsageEntry(
                key.organisation.value,
                rate.demanded.toInt(),
                rate.served.toInt(),
                key.regions.map { it.value }.sorted(),
            )
        }

    private fun servedByRegion(): List<RegionServedEntry> =
        components.organisationUsage.servedByRegion().map { (region, served) ->
            RegionServedEntry(region?.value.orEmpty(), served.toInt())
        }

    private fun demand(): List<ServiceDemandEntry> =
        components.serviceDemand.snapshot().map { (service, perSecond) ->
            ServiceDemandEntry(service, perSecond.toFloat())
        }

    private fun isReported(target: Target) =
        target.load.requests > 0 || target.readTokenRate.perSecond >= MIN_READ_TOKENS_PER_SECOND

    private fun loadOf(target: Target) =
        TargetLoadEntry(
            target.id.value,
            target.load.requests,
            target.load.unreadTokens,
            target.load.memoryTokens,
            target.readTokenRate.perSecond.toInt(),
        )

    private fun receive(digest: MemberDigest) {
        digest.reads.forEach { read ->
            val shared = read.parts.map { PromptPart(it.id, it.tokens) }
            components.pool
                .find(TargetId(read.target))
                ?.residency
                ?.recordRead(shared)
        }
        crashEvidence.receive(digest.crashEvidence)
        statedLimits.receive(digest.statedLimits)
        leavingRuns.receive(digest.leavingRuns)
        streamOrigins.receive(digest)
        hasUnappliedDigests = true
    }

    private fun updateOthersLoads() {
        val loads = components.fleet.loads()
        components.pool.all().forEach { target ->
            val others = loads[target.id] ?: OthersLoad.NONE
            target.othersLoad = others.load
            target.othersReadTokensPerSecond = others.readTokensPerSecond
        }
    }

    private companion object {
        const val MIN_READ_TOKENS_PER_SECOND = 100.0
        const val SENDS_PER_OTHER_REGION_SEND = 3L
    }
}
