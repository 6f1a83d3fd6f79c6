package toucanrelay.daemon.entry.dispatch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.grpc.StatusException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.bundle.ServiceWeights
import toucanrelay.core.charge.CostEstimates
import toucanrelay.core.charge.RequestCharge
import toucanrelay.core.identity.TargetId
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.retry.AttemptOutcome
import toucanrelay.core.retry.RequestAttempts
import toucanrelay.core.retry.RetryDecision
import toucanrelay.core.retry.RetryPolicy
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.entry.ServiceAccounting
import toucanrelay.daemon.entry.link.ChannelFactory
import toucanrelay.daemon.entry.link.toWire
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.ServeRequest

/** Components of one entry that its requests share. */
internal class EntryComponents(
    val context: DaemonContext,
    val tuning: EntryTuning,
    val dispatcher: Dispatcher,
    val accounting: ServiceAccounting,
    val estimates: CostEstimates,
    val retries: RetryPolicy,
    val meters: EntryMeters,
    val channels: ChannelFactory,
)

/** Runs one request: queues it, sends it to targets and retries it until it is answered or given up. */
internal class RequestRunner(
    private val shared: EntryComponents,
    private val request: CallerRequest,
    private val answer: AnswerWriter,
) {
    private val clock = shared.context.clock
    private val organisation = request.waiting.organisation
    private val attempts = RequestAttempts(request.isIdempotent, request.deadlineMilliseconds, shared.retries)
    private val charge = RequestCharge(weights(), request.hint)
    private var waiting: WaitingRequest = request.waiting
    private var ticket: Ticket? = null
    private var isInFlight = false
    private var attemptNumber = 0

    /** Whether the request may have run in any attempt so far. */
    val executed: Executed
        get() = attempts.executed

    suspend fun run(): RunOutcome {
        try {
            val limit = request.deadlineMilliseconds - clock.nowMilliseconds()
            return withTimeoutOrNull(limit) { attemptUntilAnswered() }
                ?: RunOutcome.GivenUp(attempts.deadlineReason(), attempts.executed)
        } finally {
            release()
        }
    }

    private suspend fun attemptUntilAnswered(): RunOutcome {
        shared.retries.budget.deposit()
        ticket = shared.dispatcher.submit(waiting).getOrElse { return RunOutcome.GivenUp(it, attempts.executed) }
        while (true) {
            val assignment = awaitAssignment().getOrElse { return RunOutcome.GivenUp(it, attempts.executed) }
            val outcome = attempt(assignment) ?: return RunOutcome.Answered
            when (val decision = decide(outcome, assignment)) {
                is RetryDecision.GiveUp -> return RunOutcome.GivenUp(decision.reason, decision.executed)
                is RetryDecision.Retry -> prepareRetry(decision, outcome, assignment)
            }
        }
    }

    private suspend fun awaitAssignment(): Result<Assignment, RefusalReason> {
        val decision = checkNotNull(ticket).decision.await()
        ticket = null
        isInFlight = decision.isOk
        return decision
    }

    private suspend fun attempt(assignment: Assignment): AttemptOutcome? {
        attemptNumber += 1
        charge.start()
        val attempt = Attempt(request, assignment, answer, charge, shared.accounting, shared.meters, shared.tuning)
        var outcome: AttemptOutcome? = AttemptOutcome.Lost
        try {
            outcome = assignment.link.trackAttempt { attempt.run(serveRequest(assignment)) }
            return outcome
        } catch (cause: CancellationException) {
            attempts.recordUnansweredAttempt()
            cancelAt(assignment)
            throw cause
        } finally {
            settle(attempt, outcome)
            settleRemote(attempt, assignment)
            val isRefused = outcome is AttemptOutcome.Refused
            if (isRefused) shared.dispatcher.recordRefusal(assignment) else shared.dispatcher.recordEnd(assignment)
        }
    }

    private fun settle(attempt: Attempt, outcome: AttemptOutcome?) {
        val usage = attempt.usage
        val difference =
            when {
                usage != null -> charge.settle(usage.promptTokens, usage.generatedTokens)
                outcome != null && !outcome.mayHaveRun -> charge.refund()
                else -> charge.settleUnreported()
            }
        shared.accounting.charge(organisation, difference)
        if (outcome == null) shared.meters.recordAnswer(organisation, usage?.generatedTokens ?: 0)
        if (usage != null) {
            shared.estimates.recordGenerated(organisation, waiting.pool, request.hintTokens, usage.generatedTokens)
        }
    }

    private fun settleRemote(attempt: Attempt, assignment: Assignment) {
        if (!assignment.isRemote) return
        shared.dispatcher.settleRemote(waiting, waiting.bodyBytes + attempt.receivedBytes)
        shared.meters.recordRemoteBytes(waiting.bodyBytes, attempt.receivedBytes)
    }

    private fun decide(outcome: AttemptOutcome, assignment: Assignment): RetryDecision {
        attempts.isAnswerStarted = answer.isStarted
        if (outcome.mayHaveRun) cancelAt(assignment)
        return attempts.decide(outcome, clock.nowMilliseconds())
    }

    private suspend fun prepareRetry(retry: RetryDecision.Retry, outcome: AttemptOutcome, assignment: Assignment) {
        shared.meters.recordRetry(retry.reason)
        answer.reset()
        delay(retry.delayMilliseconds)
        waiting = requestForRetry(outcome, assignment)
        isInFlight = false
        ticket = shared.dispatcher.resubmit(waiting)
    }

    private fun requestForRetry(outcome: AttemptOutcome, assignment: Assignment): WaitingRequest {
        val isFull = outcome is AttemptOutcome.Refused && outcome.reason == RefusalReason.TARGET_FULL
        val target = assignment.link.record.target
        return when {
            isFull -> waiting.copy(isGrantOnly = attemptNumber >= ATTEMPTS_BEFORE_GRANT_ONLY)
            target == null -> waiting
            else -> waiting.copy(refusedBy = waiting.refusedBy.add(TargetId(target.value)))
        }
    }

    private fun serveRequest(assignment: Assignment): ServeRequest =
        ServeRequest
            .newBuilder()
            .setRequestId(waiting.id.value)
            .setAttempt(attemptNumber)
            .setEntry(
                shared.context.run.toWire(),
            ).setAgent(assignment.session.agent)
            .setGrantId(assignment.grantId)
            .setOrganisation(organisation.value)
            .setBundleVersion(
                shared.context.bundles.current.value
                    ?.version
                    ?.value ?: 0,
            ).setDeadlineInMilliseconds(request.deadlineMilliseconds - clock.nowMilliseconds())
            .setIdempotent(request.isIdempotent)
            .setCostHint(waiting.cost)
            .setVirtualTime(shared.accounting.policy.rank(waiting))
            .apply(request.content::writeTo)
            .build()

    private fun cancelAt(assignment: Assignment) {
        val message =
            CancelRequest
                .newBuilder()
                .setRequestId(waiting.id.value)
                .setEntry(shared.context.run.toWire())
                .build()
        shared.context.scope.launch(shared.channels.dispatcher) {
            val session =
                assignment.link.session.value
                    ?.takeIf { it.agent == assignment.session.agent }
            try {
                withTimeoutOrNull(CANCEL_TIMEOUT_MILLISECONDS) { session?.cancel(message) }
            } catch (cause: StatusException) {
                Logger.debug { "entry: could not cancel request ${waiting.id}: ${cause.status.code}" }
            }
        }
    }

    private fun release() {
        val pending = ticket
        ticket = null
        if (pending != null && !shared.dispatcher.withdraw(pending)) pending.assignment?.let { releaseUnused(it) }
        if (isInFlight) shared.dispatcher.finish(organisation)
        isInFlight = false
    }

    /** Releases an assignment under which the request was not sent. */
    private fun releaseUnused(assignment: Assignment) {
        isInFlight = true
        shared.accounting.charge(organisation, -waiting.cost)
        if (assignment.isRemote) shared.dispatcher.settleRemote(waiting, usedBytes = 0)
        shared.dispatcher.recordEnd(assignment)
    }

    private fun weights() =
        shared.context.bundles.current.value
            ?.weights ?: ServiceWeights()

    private companion object {
        const val ATTEMPTS_BEFORE_GRANT_ONLY = 3
        const val CANCEL_TIMEOUT_MILLISECONDS = 2_000L
    }
}
