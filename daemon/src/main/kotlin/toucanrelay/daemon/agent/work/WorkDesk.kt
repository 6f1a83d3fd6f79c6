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
 * Takes requests in, runs them on the target and hands their answers out; the only way to the target.
 *
 * One lock guards its tables. No function suspends while it holds the lock.
 */
internal class WorkDesk(
    private val context: DaemonContext,
    private val status: TargetStatus,
    private val client: TargetClient,
    private val meters: AgentMeters,
    policy: OrderingPolicy,
) {
    private val lock = ReentrantLock()
    private val tables = AgentTables(context.clock, policy)
    private var lastCapacity: Announcement? = null
    private val runs = LinkedHashMap<RequestId, Run>()
    private val resumeWindowMilliseconds = checkNotNull(context.settings.agent).resumeWindowMilliseconds

    /** Set once, before the first request. */
    lateinit var board: LinkBoard

    /** Requests that run on the target. */
    val inFlight: Int
        get() = lock.withLock { tables.slots.running }

    /** Requests that wait at the agent. */
    val staged: Int
        get() = lock.withLock { tables.slots.staged }

    /** Requests that may run at once. */
    val limit: Int
        get() = lock.withLock { tables.effectiveLimit }

    /** Requests whose answers have not been read to their ends. */
    val unfinished: Int
        get() = lock.withLock { runs.values.count { !it.answer.isFinished || it.answer.isRead } }

    /** Takes [request] in or refuses it. */
    fun offer(request: ServeRequest): Offer =
        lock
            .withLock {
                val offered = OfferedRequest(request.agent.toRun(), request.pool, request.deadlineInMilliseconds)
                val id = RequestId(request.requestId)
                val refusal = status.state().refusalOf(offered)
                when {
                    refusal != null -> {
                        refuse(refusal, "the target does not take this request")
                    }

                    !status.isReachable -> {
                        refuse(RefusalReason.TARGET_UNREACHABLE, "the target does not answer")
                    }

                    tables.memory.lookUp(id) == SeenStatus.SEEN -> {
                        refuse(RefusalReason.DUPLICATE_REQUEST, "this run of the agent has taken the request before")
                    }

                    else -> {
                        place(request, id)
                    }
                }
            }.also { afterChange() }

    private fun place(request: ServeRequest, id: RequestId): Offer {
        val run = Run(request, AnswerBuffer(context.clock), now() + request.deadlineInMilliseconds)
        return when (tables.place(id, GrantId(request.grantId), run.pool, run.organisation)) {
            AdmissionDecision.FULL -> {
                refuse(RefusalReason.TARGET_FULL, "all slots of the target are taken")
            }

            AdmissionDecision.STAGE -> {
                Offer.Taken(remember(run), isStaged = true)
            }

            AdmissionDecision.START -> {
                remember(run)
                start(run)
                Offer.Taken(run, isStaged = false)
            }
        }
    }

    private fun remember(run: Run): Run {
        tables.memory.add(run.id)
        runs[run.id] = run
        return run
    }

    private fun refuse(reason: RefusalReason, detail: String): Offer {
        meters.refused(reason)
        return Offer.Refused(reason, detail)
    }

    /** Finds the run to resume; when there is none, tells how the request ended as far as that is known. */
    fun resume(id: RequestId, entry: ProcessIdentity): Run? =
        lock.withLock { runs[id]?.takeIf { it.request.entry == entry } }

    /**
     * Makes sure that a request that has not come yet will not be taken in later.
     *
     * @return whether it is proved that it has not run and will not.
     */
    fun bar(id: RequestId): Boolean =
        lock.withLock {
            val isNew = tables.memory.lookUp(id) == SeenStatus.NEVER_SEEN
            if (isNew) tables.memory.add(id)
            isNew
        }

    /** Ends the work on a request of [entry]; false when there is none. */
    fun cancel(id: RequestId, entry: ProcessIdentity): Boolean =
        lock
            .withLock {
                val run = runs[id]?.takeIf { it.request.entry == entry && !it.answer.isFinished }
                if (run != null) cut(run, RefusalReason.CALLER_GONE)
                run != null
            }.also { afterChange() }

    /** Replaces the demand that [link] stated. */
    fun demand(link: LinkId, demand: List<OrganisationDemand>) {
        lock.withLock { tables.scheduler.updateDemand(link, demand) }
        afterChange()
    }

    /** Notes that an entry has nothing for a grant. */
    fun declined(link: LinkId, grant: GrantId) {
        lock.withLock { tables.scheduler.decline(grant, link) }
        meters.grantDeclined()
        afterChange()
    }

    /** Forgets [link], which is closed. */
    fun closed(link: LinkId) {
        lock.withLock { tables.scheduler.removeLink(link) }
        afterChange()
    }

    /** Puts other terms into force. */
    fun apply(terms: AdmissionBounds) {
        lock.withLock { tables.limit.apply(terms) }
        afterChange()
    }

    /** Notes that the target was found cold; [cause] goes to the log. */
    fun turnedCold(cause: String) {
        Logger.warn("agent: the target turned cold: {}", cause)
        meters.limitCut()
        lock.withLock { tables.limit.cut() }
        afterChange()
    }

    /** Notes that the target comes back into service and has to show again what it bears. */
    fun backInService() {
        lock.withLock { tables.limit.restart() }
        afterChange()
    }

    /** Takes in a load report. */
    fun reported(requests: Int, ageMilliseconds: Long) {
        lock.withLock { tables.foreign.recordReport(requests, ageMilliseconds) }
        afterChange()
    }

    /** The capacity to announce to [link]. */
    fun announcement(link: LinkId): Announcement =
        lock.withLock {
            val state = status.state()
            capacity(state, splitFreeSlots(tables.freeSlots(state.pools), board.links)[link] ?: 0)
        }

    private fun capacity(state: TargetState, free: Int): Announcement {
        val isOpen = state.outOfServiceReason == null && status.isReachable
        return Announcement(
            limit = tables.effectiveLimit,
            inFlight = tables.slots.running,
            staged = tables.slots.staged,
            free = if (isOpen) free else 0,
            isCold = tables.limit.isCold,
            isDraining = state.outOfServiceReason != null,
            pools = state.pools.mapTo(sortedSetOf()) { it.name },
        )
    }

    /** Ends all work; returns how many requests were cut while the target may have run them. */
    fun cutAll(): Int =
        lock.withLock {
            val running = runs.values.filter { it.job != null && !it.answer.isFinished }
            running.forEach { cut(it, RefusalReason.CUT_BY_SHUTDOWN) }
            running.size
        }

    /** Does what falls due with time; called often. */
    fun tick() {
        lock.withLock {
            val expired = tables.scheduler.expire()
            if (expired > 0) meters.grantsExpired(expired)
            val now = now()
            runs.values
                .filter { it.job == null && !it.answer.isFinished && it.deadlineAtMilliseconds <= now }
                .forEach { withdraw(it, RefusalReason.DEADLINE_BEFORE_START) }
            runs.values
                .filter { !it.answer.isFinished && it.answer.unreadMilliseconds > resumeWindowMilliseconds }
                .forEach { cut(it, RefusalReason.CALLER_GONE) }
            runs.values.removeAll { it.isOver(now) }
        }
        afterChange()
    }

    private fun Run.isOver(now: Long): Boolean {
        val endedAt = endedAtMilliseconds ?: return false
        return !answer.isRead && now - endedAt > resumeWindowMilliseconds
    }

    /** Starts what can start, grants what can be granted, and hands back what will not run. */
    fun afterChange() {
        lock.withLock {
            val state = status.state()
            val reason = state.outOfServiceReason
            if (reason != null) {
                tables.slots
                    .removeStaged()
                    .mapNotNull { runs[it] }
                    .forEach { withdraw(it, reason) }
            } else if (status.isReachable) {
                tables.slots
                    .promote()
                    .mapNotNull { runs[it] }
                    .forEach { start(it) }
                tables.dueGrants(state.pools).forEach {
                    meters.granted()
                    board.send(it)
                }
            }
            tables.foreign.recordInFlight(tables.slots.running)
            announceIfChanged(state)
        }
    }

    private fun announceIfChanged(state: TargetState) {
        val capacity = capacity(state, tables.freeSlots(state.pools))
        if (capacity.isAlike(lastCapacity)) return
        lastCapacity = capacity
        board.capacityChanged()
    }

    /** Starts the work atomically, so that it ends through [ended] even when it is cut before it begins. */
    @OptIn(DelicateCoroutinesApi::class)
    private fun start(run: Run) {
        run.startedAtMilliseconds = now()
        run.startedInEra = tables.limit.epoch
        run.job = context.scope.launch(start = CoroutineStart.ATOMIC) { carryOut(run) }
    }

    private suspend fun carryOut(run: Run) {
        var outcome: TargetOutcome = TargetOutcome.Lost(RefusalReason.CUT_BY_SHUTDOWN, "the agent stopped")
        try {
            val timeLeft = run.deadlineAtMilliseconds - now()
            outcome = withTimeoutOrNull(timeLeft) { client.execute(run.request, run.answer) }
                ?: TargetOutcome.Lost(RefusalReason.DEADLINE_WHILE_RUNNING, "the deadline passed")
        } catch (cancelled: CancellationException) {
            outcome = TargetOutcome.Lost(run.cutReason ?: RefusalReason.CUT_BY_SHUTDOWN, "the request was ended")
            throw cancelled
        } catch (failure: Exception) {
            Logger.error(failure, "agent: request {} failed", run.id)
            outcome = TargetOutcome.Lost(RefusalReason.TARGET_FAILED, failure.toString())
        } finally {
            ended(run, outcome)
        }
    }

    private fun ended(run: Run, outcome: TargetOutcome) {
        lock.withLock {
            learn(run, outcome)
            tables.slots.release(run.id)
            tables.staging.recordCompletion()
            run.endedAtMilliseconds = now()
            when (outcome) {
                is TargetOutcome.Whole -> {
                    run.answer.finishWhole(outcome.usage)
                }

                is TargetOutcome.NotRun -> {
                    tables.memory.remove(run.id)
                    meters.refused(outcome.reason)
                    run.answer.finish(refused(outcome.reason, outcome.detail))
                }

                is TargetOutcome.Lost -> {
                    meters.refused(outcome.reason)
                    run.answer.finish(failed(outcome.reason, outcome.detail))
                }
            }
        }
        afterChange()
    }

    private fun learn(run: Run, outcome: TargetOutcome) {
        val limitBefore = tables.limit.current
        val startedAt = run.startedAtMilliseconds ?: return
        tables.learn(
            outcome,
            RunSample(now() - startedAt, run.startedInEra),
            context.bundles.current.value
                ?.weights ?: ServiceWeights(),
        )
        if (tables.limit.current < limitBefore) {
            meters.limitCut()
            Logger.warn("agent: limit cut from {} to {}", limitBefore, tables.limit.current)
        }
    }

    /** Ends a run that may have reached the target, or takes it out when it has not. */
    private fun cut(run: Run, reason: RefusalReason) {
        val job = run.job
        if (job == null) {
            withdraw(run, reason)
        } else {
            run.cutReason = reason
            job.cancel()
        }
    }

    /** Hands back a staged request, which has not run. */
    private fun withdraw(run: Run, reason: RefusalReason) {
        tables.slots.release(run.id)
        tables.memory.remove(run.id)
        run.endedAtMilliseconds = now()
        meters.refused(reason)
        run.answer.finish(refused(reason, "the request waited at the agent and has not run"))
    }

    private fun now() = context.clock.nowMilliseconds()
}

/** The run of a process that the wire names. */
internal fun ProcessIdentity.toRun(): ProcessRun = ProcessRun(InstanceId(instanceId), Incarnation(incarnation))
