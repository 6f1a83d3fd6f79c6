package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.overload.AdmissionLatencyLimit
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.PlacementPass
import toucanrelay.core.overload.RequestHistory
import toucanrelay.core.overload.SpareCapacityTurns
import toucanrelay.core.overload.UsageKey
import toucanrelay.core.placement.Candidate
import toucanrelay.core.placement.Distance
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.placement.Placement
import toucanrelay.core.placement.PlacementPolicy
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.OthersLoad
import toucanrelay.gateway.member.RegionServedEntry
import toucanrelay.gateway.member.TargetLoadEntry
import toucanrelay.gateway.member.UsageEntry

/** A request in a [FleetSimulation]; [refuse] tells its caller. */
internal class SimulatedRequest(
    val load: CallerLoad,
    val prompt: PromptProfile,
    val objectiveMilliseconds: Long,
    val arrivedAtMilliseconds: Long,
    val isRetry: Boolean,
    val refuse: () -> Unit,
)

/** A gateway that decides with the product's classes and has no sockets. */
internal class SimulatedGateway(
    private val name: String,
    val region: Int,
    private val regions: List<RegionId>,
    private val clock: Clock,
    initialTokensPerMillisecond: Double,
    private val onStart: (SimulatedRequest) -> Unit,
) {
    private val usage = OrganisationUsage(clock)
    private val fleet = FleetView(InstanceId(name), regions[region], clock) { RegionId(it.value) }
    private val shares = FairShares(clock, usage, fleet, SpareCapacityTurns(InstanceId(name), clock))
    private val domain = FailureDomainId(regions[region].value)
    private val speed = EngineSpeed(initialTokensPerMillisecond)
    private val ownLoads = HashMap<TargetId, TargetLoad>()
    private var othersLoads: Map<TargetId, OthersLoad> = emptyMap()
    private val unread = mutableListOf<SimulatedRequest>()
    private val waiting = mutableListOf<SimulatedRequest>()
    private var nextDrainAtMilliseconds = 0L

    /** Receives a request from a caller, which is read in the next turn of the event loop. */
    fun accept(request: SimulatedRequest) {
        unread += request
    }

    /** Places on [engines] the requests that arrived and those that wait, and refuses those that have waited too long. */
    fun takeTurn(engines: List<SimulatedEngine>) {
        unread.forEach { request ->
            usage.recordDemand(keyOf(request), request.prompt.chargedTokens)
            if (!tryToSend(request, engines)) waiting += request
        }
        unread.clear()
        if (clock.nowMilliseconds() >= nextDrainAtMilliseconds) drain(engines)
        waiting.filter { hasWaitedTooLong(it) }.forEach { request ->
            waiting.remove(request)
            request.refuse()
        }
    }

    private fun drain(engines: List<SimulatedEngine>) {
        nextDrainAtMilliseconds = clock.nowMilliseconds() + DRAIN_PERIOD_MILLISECONDS
        val order =
            compareBy<SimulatedRequest> { shares.servedPerSecond(it.load.organisation) }
                .thenBy { !it.isRetry }
                .thenBy { it.arrivedAtMilliseconds }
        val sent =
            PlacementPass.run(waiting.sortedWith(order), { it.load.organisation }) { tryToSend(it, engines) }
        waiting.removeAll(sent.toSet())
    }

    private fun tryToSend(request: SimulatedRequest, engines: List<SimulatedEngine>): Boolean {
        val placement = place(request, engines) ?: return false
        send(request, placement, engines.first { it.id == placement.target })
        return true
    }

    /** Returns the digest number [sequence] with this gateway's loads and usage. */
    fun digest(sequence: Long): MemberDigest =
        MemberDigest(
            instance = name,
            incarnation = 1,
            sequence = sequence,
            loads =
                ownLoads.map { (target, load) ->
                    TargetLoadEntry(target.value, load.requests, load.unreadTokens, load.memoryTokens, 0)
                },
            usage =
                usage.snapshot().map { (key, rate) ->
                    val regions = key.regions.map { it.value }
                    UsageEntry(key.organisation.value, rate.demanded.toInt(), rate.served.toInt(), regions)
                },
            failureDomain = domain.value,
            servedByRegion =
                usage.servedByRegion().map { (region, served) ->
                    RegionServedEntry(region?.value.orEmpty(), served.toInt())
                },
        )

    /** Records the digest of another gateway. */
    fun receive(digest: MemberDigest) {
        fleet.recordDigest(digest, ADDRESS)
        othersLoads = fleet.loads()
    }

    private fun place(request: SimulatedRequest, engines: List<SimulatedEngine>): Placement? {
        val candidates =
            engines.filter { request.load.regions.isEmpty() || it.region in request.load.regions }.map { engine ->
                Candidate(
                    target = engine.id,
                    distance = if (engine.region == region) Distance.SAME_REGION else Distance.OTHER_REGION,
                    load = loadOf(engine.id),
                    readTokensPerSecond = 0.0,
                    residentTokens = engine.residentTokens(request.prompt),
                    failureRate = 0.0,
                    slots = SLOTS,
                    memoryTokens = MEMORY_TOKENS,
                )
            }
        val open = shares.inTurn(candidates, request.load.organisation, keyOf(request).regions)
        return PlacementPolicy.placeModelCall(request.prompt, open, speed, allowedMilliseconds(request))
    }

    /** Returns the load of the whole fleet at [target], as far as this gateway knows. */
    private fun loadOf(target: TargetId): TargetLoad {
        val own = ownLoads[target] ?: TargetLoad.NONE
        return othersLoads[target]?.let { own + it.load } ?: own
    }

    private fun keyOf(request: SimulatedRequest): UsageKey =
        UsageKey(request.load.organisation, request.load.regions.mapTo(HashSet()) { regions[it] })

    private fun allowedMilliseconds(request: SimulatedRequest): Double =
        AdmissionLatencyLimit.milliseconds(
            request.objectiveMilliseconds,
            shares.servedPerSecond(request.load.organisation),
            shares.levelPerSecond(keyOf(request).regions),
            if (request.isRetry) RequestHistory.CALLER_RETRY else RequestHistory.NEW,
            clock.nowMilliseconds() - request.arrivedAtMilliseconds,
        )

    private fun send(request: SimulatedRequest, placement: Placement, engine: SimulatedEngine) {
        usage.recordServed(keyOf(request), request.prompt.chargedTokens, regions[engine.region])
        val reading = TargetLoad(1, placement.unreadTokens, placement.unreadTokens)
        val generating = TargetLoad(1, 0, placement.unreadTokens)
        val tokensAhead = loadOf(engine.id).unreadTokens + placement.unreadTokens
        val sentAtMilliseconds = clock.nowMilliseconds()
        change(engine.id, TargetLoad.NONE, reading)
        engine.recordRead(request.prompt)
        engine.submit(
            placement.unreadTokens,
            onStart = { onStart(request) },
            onFirstEvent = {
                speed.recordFirstEvent(tokensAhead, clock.nowMilliseconds() - sentAtMilliseconds)
                change(engine.id, reading, generating)
            },
            onEnd = { change(engine.id, generating, TargetLoad.NONE) },
        )
    }

    private fun change(target: TargetId, from: TargetLoad, to: TargetLoad) {
        val load = ownLoads[target] ?: TargetLoad.NONE
        ownLoads[target] =
            TargetLoad(
                load.requests - from.requests + to.requests,
                load.unreadTokens - from.unreadTokens + to.unreadTokens,
                load.memoryTokens - from.memoryTokens + to.memoryTokens,
            )
    }

    private fun hasWaitedTooLong(request: SimulatedRequest): Boolean {
        val fraction = if (request.isRetry) RETRY_WAIT_FRACTION else NEW_WAIT_FRACTION
        return clock.nowMilliseconds() - request.arrivedAtMilliseconds >= request.objectiveMilliseconds * fraction
    }

    private companion object {
        val ADDRESS = TargetAddress("127.0.0.1", 1)
        const val SLOTS = 64
        const val MEMORY_TOKENS = 1_000_000L
        const val DRAIN_PERIOD_MILLISECONDS = 20L
        const val NEW_WAIT_FRACTION = 0.35
        const val RETRY_WAIT_FRACTION = 0.8
    }
}
