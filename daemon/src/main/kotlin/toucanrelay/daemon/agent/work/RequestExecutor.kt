package toucanrelay.daemon.agent.work

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.DelicateCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.admission.AdmissionBounds
import toucanrelay.core.admission.AdmissionDecision
import toucanrelay.core.admission.OfferedRequest
import toucanrelay.core.admission.SeenStatus
import toucanrelay.core.admission.TargetState
import toucanrelay.core.admission.refusalOf
import toucanrelay.core.bundle.ServiceWeights
import toucanrelay.core.grant.GrantId
import toucanrelay.core.grant.LinkId
import toucanrelay.core.grant.OrderingPolicy
import toucanrelay.core.grant.OrganisationDemand
import toucanrelay.core.grant.splitFreeSlots
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.AgentMeters
import toucanrelay.daemon.agent.target.TargetClient
import toucanrelay.daemon.agent.target.TargetOutcome
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.wire.ProcessIdentity
import toucanrelay.wire.ServeRequest
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Admits requests, runs them on the target and buffers their answers.
 *
 * Within an agent, the requests of callers reach the target only through this class.
 *
 * One lock guards all state. No function suspends while it holds the lock.
 */
internal class RequestExecutor(
    private val context: DaemonContext,
    private val status: TargetStatus,
    private val client: TargetClient,
    private val meters: AgentMeters,
    policy: OrderingPolicy,
) {
    private val lock = ReentrantLock()
    private val admission = AdmissionController(context.clock, policy)
    private var lastAnnounced: CapacityAnnouncement? = null
    private val runs = LinkedHashMap<RequestId, RequestRun>()
    private val resumeWindowMilliseconds = checkNotNull(context.settings.agent).resumeWindowMilliseconds

    /** Sends grants and capacity changes to entries; set once, before the first request. */
    lateinit var notifier: EntryNotifier

    /** Number of requests that run on the target. */
    val inFlight: Int
        get() = lock.withLock { admission.slots.running }

    /** Number of requests that wait at the agent for a slot. */
    val staged: Int
        get() = lock.withLock { admission.slots.staged }

    /** Maximum number of requests that may run concurrently. */
    val limit: Int
        get() = lock.withLock { admission.effectiveLimit }

    /** Number of requests whose answers are not finished or are still being read. */
    val unfinished: Int
        get() = lock.withLock { runs.values.count { !it.answer.isFinished || it.answer.hasActiveReader } }

    /** Admits or refuses [request]. */
    fun admit(request: ServeRequest): AdmissionResult =
        lock
            .withLock {
                val offered = OfferedRequest(request.agent.toProcessRun(), request.pool, request.deadlineInMilliseconds)
                val id = RequestId(request.requestId)
                val refusal = status.state().refusalOf(offered)
                when {
                    refusal != null -> {
                        refuse(refusal, "the target does not take this request")
                    }

                    !status.isReachable -> {
                        refuse(RefusalReason.TARGET_UNREACHABLE, "the target does not answer")
                    }

                    admission.deduplication.lookUp(id) == SeenStatus.SEEN -> {
                        refuse(
                            RefusalReason.DUPLICATE_REQUEST,
                            "this run of the agent has taken the request before",
                        )
                    }

                    else -> {
                        startOrStage(request, id)
                    }
                }
            }.also { dispatch() }

    private fun startOrStage(request: ServeRequest, id: RequestId): AdmissionResult {
        val run = RequestRun(request, AnswerBuffer(context.clock), now() + request.deadlineInMilliseconds)
        return when (admission.admit(id, GrantId(request.grantId), run.pool, run.organisation)) {
            AdmissionDecision.FULL -> {
                refuse(RefusalReason.TARGET_FULL, "all slots of the target are taken")
            }

            AdmissionDecision.STAGE -> {
                AdmissionResult.Admitted(register(run), isStaged = true)
            }

            AdmissionDecision.START -> {
                register(run)
                start(run)
                AdmissionResult.Admitted(run, isStaged = false)
            }
        }
    }

    private fun register(run: RequestRun): RequestRun {
        admission.deduplication.add(run.id)
        runs[run.id] = run
        return run
    }

    private fun refuse(reason: RefusalReason, detail: String): AdmissionResult {
        meters.recordRefusal(reason)
        return AdmissionResult.Refused(reason, detail)
    }

    /** Returns the run of the request [id] of [entry]; null when there is none. */
    fun findRun(id: RequestId, entry: ProcessIdentity): RequestRun? =
        lock.withLock { runs[id]?.takeIf { it.request.entry == entry } }

    /**
     * Ensures that a request that has not arrived yet is refused if it arrives later.
     *
     * @return whether the request certainly has not run and will not run.
     */
    fun blockUnseen(id: RequestId): Boolean =
        lock.withLock {
            val isUnseen = admission.deduplication.lookUp(id) == SeenStatus.NEVER_SEEN
            if (isUnseen) admission.deduplication.add(id)
            isUnseen
        }

    /** Aborts the unfinished request [id] of [entry]; returns false when there is none. */
    fun cancel(id: RequestId, entry: ProcessIdentity): Boolean =
        lock
            .withLock {
                val run = runs[id]?.takeIf { it.request.entry == entry && !it.answer.isFinished }
                if (run != null) abort(run, RefusalReason.CALLER_GONE)
                run != null
            }.also { dispatch() }

    /** Replaces all demand reported earlier over [link]. */
    fun updateDemand(link: LinkId, demand: List<OrganisationDemand>) {
        lock.withLock { admission.scheduler.updateDemand(link, demand) }
        dispatch()
    }

    /** Removes [grant] because the entry of [link] has no request left for it. */
    fun declineGrant(link: LinkId, grant: GrantId) {
        lock.withLock { admission.scheduler.decline(grant, link) }
        meters.recordDeclinedGrant()
        dispatch()
    }

    /** Removes the closed [link] with its demand and grants. */
    fun removeLink(link: LinkId) {
        lock.withLock { admission.scheduler.removeLink(link) }
        dispatch()
    }

    /** Replaces the bounds of the admission limit. */
    fun applyBounds(bounds: AdmissionBounds) {
        lock.withLock { admission.limit.apply(bounds) }
        dispatch()
    }

    /** Drops the admission limit to the cold limit because the target turned cold; [cause] is logged. */
    fun onTargetCold(cause: String) {
        Logger.warn("agent: the target is cold: {}", cause)
        meters.recordLimitCut()
        lock.withLock { admission.limit.cut() }
        dispatch()
    }

    /** Returns the admission limit to the cold limit when the target comes back into service. */
    fun onBackInService() {
        lock.withLock { admission.limit.reset() }
        dispatch()
    }

    /** Records a report that the target had [requests] running and waiting [ageMilliseconds] ago. */
    fun recordLoadReport(requests: Int, ageMilliseconds: Long) {
        lock.withLock { admission.foreignLoad.recordReport(requests, ageMilliseconds) }
        dispatch()
    }

    /** Returns the capacity to announce to [link]. */
    fun announcement(link: LinkId): CapacityAnnouncement =
        lock.withLock {
            val state = status.state()
            capacity(state, splitFreeSlots(admission.freeSlots(state.pools), notifier.links)[link] ?: 0)
        }

    private fun capacity(state: TargetState, free: Int): CapacityAnnouncement {
        val isOpen = state.outOfServiceReason == null && status.isReachable
        return CapacityAnnouncement(
            limit = admission.effectiveLimit,
            inFlight = admission.slots.running,
            staged = admission.slots.staged,
            free = if (isOpen) free else 0,
            isCold = admission.limit.isCold,
            isDraining = state.outOfServiceReason != null,
            pools = state.pools.mapTo(sortedSetOf()) { it.name },
        )
    }

    /** Aborts all started, unfinished requests, which the target may have run, and returns their number. */
    fun abortAll(): Int =
        lock.withLock {
            val running = runs.values.filter { it.job != null && !it.answer.isFinished }
            running.forEach { abort(it, RefusalReason.CUT_BY_SHUTDOWN) }
            running.size
        }

    /** Expires grants, staged requests past their deadlines, abandoned requests and old answers; called periodically. */
    fun tick() {
        lock.withLock {
            val expired = admission.scheduler.expire()
            if (expired > 0) meters.recordExpiredGrants(expired)
            val now = now()
            runs.values
                .filter { it.job == null && !it.answer.isFinished && it.deadlineAtMilliseconds <= now }
                .forEach { withdraw(it, RefusalReason.DEADLINE_BEFORE_START) }
            runs.values
                .filter { !it.answer.isFinished && it.answer.millisecondsWithoutReader > resumeWindowMilliseconds }
                .forEach { abort(it, RefusalReason.CALLER_GONE) }
            runs.values.removeAll { it.isExpired(now) }
        }
        dispatch()
    }

    private fun RequestRun.isExpired(now: Long): Boolean {
        val endedAt = endedAtMilliseconds ?: return false
        return !answer.hasActiveReader && now - endedAt > resumeWindowMilliseconds
    }

    /**
     * Starts staged requests, issues grants and announces changed capacity.
     *
     * While the target is out of service, refuses the staged requests instead.
     */
    fun dispatch() {
        lock.withLock {
            val state = status.state()
            val reason = state.outOfServiceReason
            if (reason != null) {
                admission.slots
                    .removeStaged()
                    .mapNotNull { runs[it] }
                    .forEach { withdraw(it, reason) }
            } else if (status.isReachable) {
                admission.slots
                    .promote()
                    .mapNotNull { runs[it] }
                    .forEach { start(it) }
                admission.dueGrants(state.pools).forEach {
                    meters.recordGrant()
                    notifier.send(it)
                }
            }
            admission.foreignLoad.recordInFlight(admission.slots.running)
            announceIfChanged(state)
        }
    }

    private fun announceIfChanged(state: TargetState) {
        val capacity = capacity(state, admission.freeSlots(state.pools))
        if (capacity.isEquivalentTo(lastAnnounced)) return
        lastAnnounced = capacity
        notifier.signalCapacityChange()
    }

    /** Starts the job atomically, so that [onEnded] is called even when the job is cancelled before it runs. */
    @OptIn(DelicateCoroutinesApi::class)
    private fun start(run: RequestRun) {
        run.startedAtMilliseconds = now()
        run.startedInEpoch = admission.limit.epoch
        run.job = context.scope.launch(start = CoroutineStart.ATOMIC) { execute(run) }
    }

    private suspend fun execute(run: RequestRun) {
        var outcome: TargetOutcome = TargetOutcome.PossiblyExecuted(RefusalReason.CUT_BY_SHUTDOWN, "the agent stopped")
        try {
            val timeLeft = run.deadlineAtMilliseconds - now()
            outcome = withTimeoutOrNull(timeLeft) { client.execute(run.request, run.answer) }
                ?: TargetOutcome.PossiblyExecuted(RefusalReason.DEADLINE_WHILE_RUNNING, "the deadline passed")
        } catch (cancelled: CancellationException) {
            outcome =
                TargetOutcome.PossiblyExecuted(
                    run.abortReason ?: RefusalReason.CUT_BY_SHUTDOWN,
                    "the request was ended",
                )
            throw cancelled
        } catch (failure: Exception) {
            Logger.error(failure, "agent: request {} failed", run.id)
            outcome = TargetOutcome.PossiblyExecuted(RefusalReason.TARGET_FAILED, failure.toString())
        } finally {
            onEnded(run, outcome)
        }
    }

    private fun onEnded(run: RequestRun, outcome: TargetOutcome) {
        lock.withLock {
            recordOutcome(run, outcome)
            admission.slots.release(run.id)
            admission.staging.recordCompletion()
            run.endedAtMilliseconds = now()
            when (outcome) {
                is TargetOutcome.Completed -> {
                    run.answer.complete(outcome.usage)
                }

                is TargetOutcome.NotExecuted -> {
                    admission.deduplication.remove(run.id)
                    meters.recordRefusal(outcome.reason)
                    run.answer.finish(refusedEvent(outcome.reason, outcome.detail))
                }

                is TargetOutcome.PossiblyExecuted -> {
                    meters.recordRefusal(outcome.reason)
                    run.answer.finish(failedEvent(outcome.reason, outcome.detail))
                }
            }
        }
        dispatch()
    }

    private fun recordOutcome(run: RequestRun, outcome: TargetOutcome) {
        val limitBefore = admission.limit.current
        val startedAt = run.startedAtMilliseconds ?: return
        admission.recordOutcome(
            outcome,
            RunSample(now() - startedAt, run.startedInEpoch),
            context.bundles.current.value
                ?.weights ?: ServiceWeights(),
        )
        if (admission.limit.current < limitBefore) {
            meters.recordLimitCut()
            Logger.warn("agent: admission limit cut from {} to {}", limitBefore, admission.limit.current)
        }
    }

    /** Cancels a run that may have reached the target; withdraws it if it is still staged. */
    private fun abort(run: RequestRun, reason: RefusalReason) {
        val job = run.job
        if (job == null) {
            withdraw(run, reason)
        } else {
            run.abortReason = reason
            job.cancel()
        }
    }

    /** Refuses a staged request, which has not run. */
    private fun withdraw(run: RequestRun, reason: RefusalReason) {
        admission.slots.release(run.id)
        admission.deduplication.remove(run.id)
        run.endedAtMilliseconds = now()
        meters.recordRefusal(reason)
        run.answer.finish(refusedEvent(reason, "the request waited at the agent and has not run"))
    }

    private fun now() = context.clock.nowMilliseconds()
}

/** Converts the identity from the wire. */
internal fun ProcessIdentity.toProcessRun(): ProcessRun = ProcessRun(InstanceId(instanceId), Incarnation(incarnation))
