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
import toucanrelay.daemon.entry.EntryTerms
import toucanrelay.daemon.entry.ServiceAccount
import toucanrelay.daemon.entry.link.ChannelFactory
import toucanrelay.daemon.entry.link.toWire
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.ServeRequest

/** What the runs of all requests at one entry share. */
internal class RunnerParts(
    val context: DaemonContext,
    val terms: EntryTerms,
    val dispatcher: Dispatcher,
    val account: ServiceAccount,
    val estimates: CostEstimates,
    val retries: RetryPolicy,
    val meters: EntryMeters,
    val channels: ChannelFactory,
)

/** Takes one request from the queue to its whole answer or its final refusal. */
internal class RequestRunner(
    private val parts: RunnerParts,
    private val request: CallerRequest,
    private val answer: AnswerWriter,
) {
    private val clock = parts.context.clock
    private val organisation = request.waiting.organisation
    private val attempts = RequestAttempts(request.isIdempotent, request.deadlineMilliseconds, parts.retries)
    private val charge = RequestCharge(weights(), request.hint)
    private var waiting: WaitingRequest = request.waiting
    private var ticket: Ticket? = null
    private var isInFlight = false
    private var sent = 0

    /** Whether the request may have run in any attempt so far. */
    val executed: Executed
        get() = attempts.executed

    suspend fun run(): RunOutcome {
        try {
            val limit = request.deadlineMilliseconds - clock.nowMilliseconds()
            return withTimeoutOrNull(limit) { attemptUntilAnswered() }
                ?: RunOutcome.GivenUp(attempts.deadlineReason(), attempts.executed)
        } finally {
            leave()
        }
    }

    private suspend fun attemptUntilAnswered(): RunOutcome {
        parts.retries.budget.deposit()
        ticket = parts.dispatcher.submit(waiting).getOrElse { return RunOutcome.GivenUp(it, attempts.executed) }
        while (true) {
            val assignment = awaitAssignment().getOrElse { return RunOutcome.GivenUp(it, attempts.executed) }
            val outcome = attempt(assignment) ?: return RunOutcome.Whole
            when (val decision = decide(outcome, assignment)) {
                is RetryDecision.GiveUp -> return RunOutcome.GivenUp(decision.reason, decision.executed)
                is RetryDecision.Retry -> repeatAfter(decision, outcome, assignment)
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
        sent += 1
        charge.start()
        val attempt = Attempt(request, assignment, answer, charge, parts.account, parts.meters, parts.terms)
        var outcome: AttemptOutcome? = AttemptOutcome.Lost
        try {
            outcome = assignment.link.use { attempt.run(serveRequest(assignment)) }
            return outcome
        } catch (cause: CancellationException) {
            attempts.recordUnansweredAttempt()
            cancelAt(assignment)
            throw cause
        } finally {
            settle(attempt, outcome)
            settleRemote(attempt, assignment)
            val isRefused = outcome is AttemptOutcome.Refused
            if (isRefused) parts.dispatcher.refused(assignment) else parts.dispatcher.ended(assignment)
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
        parts.account.charge(organisation, difference)
        if (outcome == null) parts.meters.answered(organisation, usage?.generatedTokens ?: 0)
        if (usage != null) {
            parts.estimates.observe(organisation, waiting.pool, request.hintTokens, usage.generatedTokens)
        }
    }

    private fun settleRemote(attempt: Attempt, assignment: Assignment) {
        if (!assignment.isRemote) return
        parts.dispatcher.settleRemote(waiting, waiting.bodyBytes + attempt.receivedBytes)
        parts.meters.remoteBytes(waiting.bodyBytes, attempt.receivedBytes)
    }

    private fun decide(outcome: AttemptOutcome, assignment: Assignment): RetryDecision {
        attempts.isAnswerStarted = answer.isStarted
        if (outcome.mayHaveRun) cancelAt(assignment)
        return attempts.decide(outcome, clock.nowMilliseconds())
    }

    private suspend fun repeatAfter(again: RetryDecision.Retry, outcome: AttemptOutcome, assignment: Assignment) {
        parts.meters.retried(again.reason)
        answer.restart()
        delay(again.delayMilliseconds)
        waiting = nextWaiting(outcome, assignment)
        isInFlight = false
        ticket = parts.dispatcher.resubmit(waiting)
    }

    private fun nextWaiting(outcome: AttemptOutcome, assignment: Assignment): WaitingRequest {
        val isFull = outcome is AttemptOutcome.Refused && outcome.reason == RefusalReason.TARGET_FULL
        val target = assignment.link.record.target
        return when {
            isFull -> waiting.copy(isGrantOnly = sent >= PUSHES_BEFORE_GRANT_ONLY)
            target == null -> waiting
            else -> waiting.copy(refusedBy = waiting.refusedBy.add(TargetId(target.value)))
        }
    }

    private fun serveRequest(assignment: Assignment): ServeRequest =
        ServeRequest
            .newBuilder()
            .setRequestId(waiting.id.value)
            .setAttempt(sent)
            .setEntry(
                parts.context.run.toWire(),
            ).setAgent(assignment.session.agent)
            .setGrantId(assignment.grantId)
            .setOrganisation(organisation.value)
            .setBundleVersion(
                parts.context.bundles.current.value
                    ?.version
                    ?.value ?: 0,
            ).setDeadlineInMilliseconds(request.deadlineMilliseconds - clock.nowMilliseconds())
            .setIdempotent(request.isIdempotent)
            .setCostHint(waiting.cost)
            .setVirtualTime(parts.account.policy.rank(waiting))
            .apply(request.content::writeTo)
            .build()

    private fun cancelAt(assignment: Assignment) {
        val message =
            CancelRequest
                .newBuilder()
                .setRequestId(waiting.id.value)
                .setEntry(parts.context.run.toWire())
                .build()
        parts.context.scope.launch(parts.channels.dispatcher) {
            val session =
                assignment.link.session.value
                    ?.takeIf { it.agent == assignment.session.agent }
            try {
                withTimeoutOrNull(CANCEL_LIMIT_MILLISECONDS) { session?.cancel(message) }
            } catch (cause: StatusException) {
                Logger.debug { "entry: could not cancel ${waiting.id}: ${cause.status.code}" }
            }
        }
    }

    private fun leave() {
        val left = ticket
        ticket = null
        if (left != null && !parts.dispatcher.withdraw(left)) left.assignment?.let { abandon(it) }
        if (isInFlight) parts.dispatcher.finish(organisation)
        isInFlight = false
    }

    /** Gives back what a request was assigned that ended before it was sent. */
    private fun abandon(assignment: Assignment) {
        isInFlight = true
        parts.account.charge(organisation, -waiting.cost)
        if (assignment.isRemote) parts.dispatcher.settleRemote(waiting, usedBytes = 0)
        parts.dispatcher.ended(assignment)
    }

    private fun weights() =
        parts.context.bundles.current.value
            ?.weights ?: ServiceWeights()

    private companion object {
        const val PUSHES_BEFORE_GRANT_ONLY = 3
        const val CANCEL_LIMIT_MILLISECONDS = 2_000L
    }
}
