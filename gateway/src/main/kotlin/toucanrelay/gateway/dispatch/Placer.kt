package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.overload.AdmissionLatencyLimit
import toucanrelay.core.overload.RequestHistory
import toucanrelay.core.placement.Candidate
import toucanrelay.core.placement.Distance
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.placement.Placement
import toucanrelay.core.placement.PlacementPolicy
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.member.RecentPromptReads
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.target.ServingTarget
import toucanrelay.gateway.target.Target
import toucanrelay.gateway.target.TargetPool

/** Result of the search for a target. */
internal sealed interface PlacementResult {
    /** A target was found and capacity reserved on it. */
    class Placed(
        val reservation: Reservation,
    ) : PlacementResult

    /** Suitable targets are registered, but none can accept the request now. */
    data object Busy : PlacementResult

    /**
     * Every suitable target has asked for a back-off.
     *
     * @property milliseconds time until the first one accepts requests again.
     */
    class BackingOff(
        val milliseconds: Long,
    ) : PlacementResult

    /** Every registered target is unsuitable for the request or was already tried. */
    data object NoTarget : PlacementResult
}

/**
 * Chooses a target for a request and reserves capacity on it.
 *
 * @param settings the settings of the process at its start.
 * @param regionOf returns the region of a failure domain by the settings in force.
 */
internal class Placer(
    settings: GatewaySettings,
    private val regionOf: (FailureDomainId) -> RegionId?,
    private val clock: Clock,
    private val pool: TargetPool,
    private val allowances: TargetAllowances,
    private val shares: FairShares,
    private val reads: RecentPromptReads,
    private val selection: TargetSelection,
) {
    private val ownDomain = FailureDomainId(settings.failureDomain)
    private val ownRegion = settings.region
    private val speeds = HashMap<String, EngineSpeed>()

    /** Places the request of [query] on a target; [onRelease] runs when that target frees capacity. */
    fun place(query: PlacementQuery, onRelease: () -> Unit): PlacementResult {
        val request = query.request
        val untried = selection.allowed(query).filter { it.target.id !in query.excluded }
        if (untried.isEmpty()) return PlacementResult.NoTarget
        val open = untried.filter { allowances.backoffMilliseconds(it.target) == 0L }
        if (open.isEmpty()) {
            return PlacementResult.BackingOff(
                untried.minOf { allowances.backoffMilliseconds(it.target) },
            )
        }
        val usable = selection.usable(selection.preferUnharmed(open, request), request.service)
        val candidates = usable.map { candidateOf(it, request.prompt, request.service) }
        val placement = choose(request, candidates, historyOf(query)) ?: return PlacementResult.Busy
        return PlacementResult.Placed(
            reserve(request, usable.first { it.target.id == placement.target }, placement, onRelease),
        )
    }

    /** Returns why nothing may be sent any more to the target of [reservation], or null if a request may be. */
    fun reasonNotToSend(reservation: Reservation): String? =
        when {
            !pool.isServing(reservation.registered) -> "target is not in service any more"
            allowances.backoffMilliseconds(reservation.target) > 0 -> "target has asked for a back-off"
            else -> null
        }

    /** Returns whether the rate of requests to any target that may serve [query] is limited. */
    fun isPaced(query: PlacementQuery): Boolean =
        selection.allowed(query).any { allowances.isPaced(it, query.request.service) }

    /** Returns what may be sent to the targets that [query] may be placed on, or null if not all rates are limited. */
    fun pacedCapacity(query: PlacementQuery): PacedCapacity? {
        val service = query.request.service
        val open = selection.allowed(query).filter { selection.isOpen(it, service) && it.target.id !in query.excluded }
        if (open.isEmpty() || !open.all { allowances.isPaced(it, service) }) return null
        val pacers = open.map { it.target.pacing.pacer }
        return PacedCapacity(
            pacers.mapNotNull { it.millisecondsUntilNext() }.minOrNull(),
            pacers.sumOf { it.ratePerSecond ?: 0.0 },
        )
    }

    /** Describes the availability of the targets to [query], for the log. */
    fun describeAvailability(query: PlacementQuery): String {
        val request = query.request
        val serving = selection.allowed(query)
        val usable = selection.usable(serving, request.service)
        val counts = "targets ${serving.size} usable ${usable.size}"
        val prompt = request.prompt ?: return counts
        val candidates = usable.map { candidateOf(it, prompt, request.service) }
        val withRoom = candidates.filter { PlacementPolicy.hasRoom(prompt, it) }
        val unread = withRoom.minOfOrNull { it.load.unreadTokens }
        val history = historyOf(query)
        val allowed = allowedMilliseconds(request, history, waitedMilliseconds = 0).toInt()
        val left = allowedMilliseconds(request, history, waitedMilliseconds(request)).toInt()
        val paced = serving.count { allowances.isPaced(it, request.service) }
        val backingOff = serving.count { allowances.backoffMilliseconds(it.target) > 0 }
        return "$counts paced $paced backing off $backingOff with room ${withRoom.size} " +
            "min unread tokens $unread allowed ms $allowed left ms $left"
    }

    /** Returns how fast engines of [service] read prompts, at first estimated from their total [tokensPerSecond]. */
    fun speedOf(service: ServiceSettings, tokensPerSecond: Double?): EngineSpeed =
        speeds.getOrPut(service.name) {
            val engines = maxOf(1, pool.serving(service).size)
            EngineSpeed(
                tokensPerSecond?.let { it / engines / MILLISECONDS_PER_SECOND } ?: DEFAULT_TOKENS_PER_MILLISECOND,
            )
        }

    private fun historyOf(query: PlacementQuery): RequestHistory =
        when {
            query.isInterrupted -> RequestHistory.INTERRUPTED
            query.request.isCallerRetry -> RequestHistory.CALLER_RETRY
            else -> RequestHistory.NEW
        }

    private fun choose(request: CallerRequest, candidates: List<Candidate>, history: RequestHistory): Placement? {
        val prompt = request.prompt ?: return PlacementPolicy.placeServiceCall(candidates, SERVICE_QUEUE_FACTOR)
        val speed = speedOf(request.service, request.configuration.limits.tokensPerSecond)
        val allowed = allowedMilliseconds(request, history, waitedMilliseconds(request))
        return PlacementPolicy.placeModelCall(prompt, openTo(request, candidates, history), speed, allowed)
    }

    /** Returns those of [candidates] that this gateway may use now for the organisation of [request]. */
    private fun openTo(request: CallerRequest, candidates: List<Candidate>, history: RequestHistory): List<Candidate> {
        if (history == RequestHistory.INTERRUPTED) return candidates
        return shares.inTurn(candidates, request.account, request.usageKey.regions)
    }

    private fun waitedMilliseconds(request: CallerRequest): Long =
        clock.nowMilliseconds() - request.arrivedAtMilliseconds

    private fun allowedMilliseconds(
        request: CallerRequest,
        history: RequestHistory,
        waitedMilliseconds: Long,
    ): Double =
        AdmissionLatencyLimit.milliseconds(
            request.route.latencyObjectiveMilliseconds,
            shares.servedPerSecond(request.account),
            shares.levelPerSecond(request.usageKey.regions),
            history,
            waitedMilliseconds,
        )

    private fun candidateOf(serving: ServingTarget, prompt: PromptProfile?, service: ServiceSettings): Candidate {
        val target = serving.target
        return Candidate(
            target = target.id,
            distance = distanceTo(serving),
            load = target.load + target.othersLoad,
            readTokensPerSecond = target.readTokenRate.perSecond + target.othersReadTokensPerSecond,
            residentTokens = prompt?.let { target.residency.residentTokens(it.sharedParts) } ?: 0,
            failureRate = target.health.failureRate,
            slots = serving.registered.registration.slots,
            memoryTokens = service.engine?.memoryTokens,
            hash = target.hash,
            requestIntervalMilliseconds =
                target.pacing.fleetRequestsPerSecond?.let { MILLISECONDS_PER_SECOND / it } ?: 0.0,
        )
    }

    private fun reserve(
        request: CallerRequest,
        serving: ServingTarget,
        placement: Placement,
        onRelease: () -> Unit,
    ): Reservation {
        val target = serving.target
        val tokensAhead = target.load.unreadTokens + target.othersLoad.unreadTokens + placement.unreadTokens
        request.prompt?.let { recordRead(target, it, placement) }
        allowances.recordPlaced(target)
        val load = TargetLoad(1, placement.unreadTokens, expectedMemoryTokens(request.prompt, placement))
        return Reservation(serving.registered, target, placement, regionOf(serving), tokensAhead, load, onRelease)
    }

    private fun recordRead(target: Target, prompt: PromptProfile, placement: Placement) {
        target.residency.recordRead(prompt.parts)
        target.readTokenRate.add(placement.unreadTokens.toDouble())
        reads.record(target.id, prompt.sharedParts)
    }

    /**
     * Returns the engine memory that the request is expected to take.
     *
     * Running requests share the cached copy of shared prompt parts, so only a fraction of it counts for each request.
     */
    private fun expectedMemoryTokens(prompt: PromptProfile?, placement: Placement): Long {
        if (prompt == null) return 0
        val resident = prompt.promptTokens - placement.unreadTokens
        return placement.unreadTokens + resident / REQUESTS_PER_RESIDENT_PART + prompt.expectedOutputTokens
    }

    private fun regionOf(serving: ServingTarget) = regionOf(serving.registered.registration.failureDomain)

    private fun distanceTo(serving: ServingTarget): Distance =
        when {
            serving.registered.registration.failureDomain == ownDomain -> Distance.SAME_FAILURE_DOMAIN
            regionOf(serving) == ownRegion -> Distance.SAME_REGION
            else -> Distance.OTHER_REGION
        }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val DEFAULT_TOKENS_PER_MILLISECOND = 30.0
        const val SERVICE_QUEUE_FACTOR = 2.5
        const val REQUESTS_PER_RESIDENT_PART = 3
    }
}
