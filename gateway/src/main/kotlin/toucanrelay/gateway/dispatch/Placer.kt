package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.overload.AdmissionLatencyLimit
import toucanrelay.core.overload.RequestHistory
import toucanrelay.core.placement.Candidate
import toucanrelay.core.placement.Distance
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.placement.Placement
import toucanrelay.core.placement.PlacementPolicy
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.ColdStartAllowance
import toucanrelay.core.target.TargetCondition
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.RecentPromptReads
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.target.ServingTarget
import toucanrelay.gateway.target.Target
import toucanrelay.gateway.target.TargetPool

/** What came of the search for a target. */
internal sealed interface PlacingResult {
    /** A target was found and its load taken. */
    class Placed(
        val ticket: Ticket,
    ) : PlacingResult

    /** Targets are there, but none may take the request now. */
    data object Busy : PlacingResult

    /** No target may ever take the request as things stand. */
    data object NoTarget : PlacingResult
}

/** Searches a target for a request and takes its load. */
internal class Placer(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val pool: TargetPool,
    private val fleet: FleetView,
    private val shares: FairShares,
    private val reads: RecentPromptReads,
) {
    private val self: InstanceId = settings.instanceId
    private val ownDomain = FailureDomainId(settings.failureDomain)
    private val speeds = HashMap<String, EngineSpeed>()

    /** Places [request] at a target that is not in [excluded]; [onRelease] runs when the target has room again. */
    fun place(request: CallerRequest, excluded: Set<TargetId>, onRelease: () -> Unit): PlacingResult {
        val serving = allowed(request)
        val untried = serving.filter { it.target.id !in excluded }
        if (untried.isEmpty()) return PlacingResult.NoTarget
        val usable = usable(untried, request.service)
        val candidates = usable.map { candidateOf(it, request.prompt, request.service) }
        val placement = choose(request, candidates, standingOf(request, excluded)) ?: return PlacingResult.Busy
        return PlacingResult.Placed(
            take(request, usable.first { it.target.id == placement.target }, placement, onRelease),
        )
    }

    /** Tells, for the log, what kept [request] from the targets. */
    fun explain(request: CallerRequest): String {
        val serving = allowed(request)
        val usable = usable(serving, request.service)
        val counts = "targets ${serving.size} usable ${usable.size}"
        val prompt = request.prompt ?: return counts
        val candidates = usable.map { candidateOf(it, prompt, request.service) }
        val withRoom = candidates.filter { PlacementPolicy.hasRoom(prompt, it) }
        val unread = withRoom.minOfOrNull { it.load.unreadTokens }
        val allowed = allowedMilliseconds(request, standingOf(request, emptySet())).toInt()
        return "$counts with room ${withRoom.size} least unread $unread allowed ms $allowed"
    }

    /** How fast the engines of [service] read prompts. */
    fun speedOf(service: ServiceSettings, tokensPerSecond: Double?): EngineSpeed =
        speeds.getOrPut(service.name) {
            val engines = maxOf(1, pool.serving(service).size)
            EngineSpeed(tokensPerSecond?.let { it / engines / MILLISECONDS_IN_A_SECOND } ?: DEFAULT_SPEED)
        }

    private fun allowed(request: CallerRequest): List<ServingTarget> =
        pool.serving(request.service).filter { request.allows(regionOf(it)) }

    private fun standingOf(request: CallerRequest, excluded: Set<TargetId>): RequestHistory =
        when {
            excluded.isNotEmpty() -> RequestHistory.INTERRUPTED
            request.isCallerRetry -> RequestHistory.CALLER_RETRY
            else -> RequestHistory.NEW
        }

    private fun choose(request: CallerRequest, candidates: List<Candidate>, standing: RequestHistory): Placement? {
        val prompt = request.prompt ?: return PlacementPolicy.placeServiceCall(candidates, SERVICE_QUEUE_FACTOR)
        val sinceArrival = clock.nowMilliseconds() - request.arrivedAtMilliseconds
        val waited = if (standing == RequestHistory.INTERRUPTED) 0 else sinceArrival
        val speed = speedOf(request.service, request.configuration.limits.tokensPerSecond)
        return PlacementPolicy.placeModelCall(
            prompt,
            candidates,
            speed,
            allowedMilliseconds(request, standing) - waited,
        )
    }

    private fun allowedMilliseconds(request: CallerRequest, standing: RequestHistory): Double =
        AdmissionLatencyLimit.milliseconds(
            request.route.latencyObjectiveMilliseconds,
            shares.servedPerSecond(request.account),
            shares.levelPerSecond(request.configuration.limits.tokensPerSecond),
            standing,
        )

    private fun usable(serving: List<ServingTarget>, service: ServiceSettings): List<ServingTarget> {
        val warmEnough = serving.filter { bearsAnother(it, service) }
        val sound = warmEnough.filter { mayTry(it) }
        return sound.ifEmpty { if (serving.all { isSuspected(it) }) warmEnough else sound }
    }

    private fun isSuspected(serving: ServingTarget) = serving.target.health.condition == TargetCondition.SUSPECTED

    private fun mayTry(serving: ServingTarget): Boolean =
        when (serving.target.health.condition) {
            TargetCondition.SOUND -> true
            TargetCondition.ON_TRIAL -> serving.target.load.requests == 0
            TargetCondition.SUSPECTED -> false
        }

    private fun bearsAnother(serving: ServingTarget, service: ServiceSettings): Boolean {
        val connections = maxOf(1, service.maximumConnections / fleet.size)
        if (serving.target.load.requests >= connections) return false
        val perSecond = service.coldRequestsPerSecond ?: return true
        if (clock.nowMilliseconds() >= serving.registered.coldUntilMilliseconds) return true
        val allowed = ColdStartAllowance.requestsPerSecond(serving.target.id, self, fleet.others, perSecond)
        return serving.target.sentLately.count() < allowed
    }

    private fun candidateOf(serving: ServingTarget, prompt: PromptProfile?, service: ServiceSettings): Candidate {
        val target = serving.target
        return Candidate(
            target = target.id,
            distance = distanceTo(serving),
            load = target.load + target.othersLoad,
            readTokensPerSecond = target.readTokens.perSecond + target.othersReadPerSecond,
            residentTokens = prompt?.let { target.residency.residentTokens(it.sharedParts) } ?: 0,
            failureRate = target.health.failureRate,
            slots = serving.registered.registration.slots,
            memoryTokens = service.engine?.memoryTokens,
            hash = target.hash,
        )
    }

    private fun take(
        request: CallerRequest,
        serving: ServingTarget,
        placement: Placement,
        onRelease: () -> Unit,
    ): Ticket {
        val target = serving.target
        val tokensAhead = target.load.unreadTokens + target.othersLoad.unreadTokens + placement.unreadTokens
        request.prompt?.let { noteRead(target, it, placement) }
        target.sentLately.add()
        val held = TargetLoad(1, placement.unreadTokens, memoryOf(request.prompt, placement))
        return Ticket(serving.registered, target, placement, tokensAhead, held, onRelease)
    }

    private fun noteRead(target: Target, prompt: PromptProfile, placement: Placement) {
        target.residency.recordRead(prompt.parts)
        target.readTokens.add(placement.unreadTokens.toDouble())
        reads.record(target.id, prompt.sharedParts)
    }

    /** Shared parts are kept once for all requests that run, so only a part of them counts for each. */
    private fun memoryOf(prompt: PromptProfile?, placement: Placement): Long {
        if (prompt == null) return 0
        val resident = prompt.promptTokens - placement.unreadTokens
        return placement.unreadTokens + resident / SHARERS_OF_RESIDENT_PARTS + prompt.expectedOutputTokens
    }

    private fun regionOf(serving: ServingTarget) = settings.regionOf(serving.registered.registration.failureDomain)

    private fun distanceTo(serving: ServingTarget): Distance =
        when {
            serving.registered.registration.failureDomain == ownDomain -> Distance.SAME_FAILURE_DOMAIN
            regionOf(serving) == settings.region -> Distance.SAME_REGION
            else -> Distance.OTHER_REGION
        }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
        const val DEFAULT_SPEED = 30.0
        const val SERVICE_QUEUE_FACTOR = 2.5
        const val SHARERS_OF_RESIDENT_PARTS = 3
    }
}
