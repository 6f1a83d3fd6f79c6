package toucanrelay.gateway.dispatch

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.RetryDelay
import toucanrelay.core.retry.AttemptState
import toucanrelay.core.retry.NextStep
import toucanrelay.core.retry.NextStepPolicy
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.Clock
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.Refusal
import toucanrelay.gateway.http.RequestIntake
import toucanrelay.gateway.log.EventLog
import kotlin.random.Random

/** What the runner needs of the rest of the process. */
internal class RunnerParts(
    val clock: Clock,
    val admission: Admission,
    val placer: Placer,
    val targets: TargetRegistry,
    val intake: RequestIntake,
    val usage: OrganisationUsage,
    val estimates: OutputEstimates,
    val budgets: RetryBudgets,
    val silence: SilenceWatch,
    val meters: GatewayMeters,
    val log: EventLog,
    val random: Random,
)

/** Serves one accepted request: finds targets for it until it has its answer or may not be sent again. */
internal class RequestRunner(
    private val parts: RunnerParts,
    private val request: CallerRequest,
    private val responder: CallerResponder,
) {
    private val progress = RequestProgress(request.lastEventId)
    private val budget = parts.budgets.of(request.service.name)

    /** Runs the request to its final answer. */
    suspend fun run() {
        budget.recordRequest()
        request.prompt?.let { parts.usage.recordDemand(request.account, it.chargedTokens) }
        val left = request.deadlineAtMilliseconds - parts.clock.nowMilliseconds() - ANSWER_MARGIN_MILLISECONDS
        val isDone = withTimeoutOrNull(maxOf(1, left)) { attemptUntilAnswered() }
        if (isDone == null) endAtDeadline()
    }

    /** Writes the log line of a request that has ended, with [status] where the gateway did not write one itself. */
    fun logEnd(outcome: String) {
        val now = parts.clock.nowMilliseconds()
        parts.log.write(
            "request",
            "id" to request.id,
            "route" to request.route.name,
            "organisation" to request.organisation?.id,
            "outcome" to outcome,
            "detail" to progress.detail,
            "target" to progress.target,
            "attempts" to progress.attempts,
            "mayHaveRun" to progress.mayHaveRun,
            "returned" to request.isCallerRetry.takeIf { it },
            "waitedMs" to progress.waitedMilliseconds,
            "expectedMs" to progress.expectedMilliseconds,
            "unreadTokens" to progress.unreadTokens,
            "outputTokens" to request.prompt?.expectedOutputTokens,
            "firstByteMs" to progress.firstByteAtMilliseconds?.let { it - request.arrivedAtMilliseconds },
            "totalMs" to now - request.arrivedAtMilliseconds,
            "configuration" to request.configuration.version,
        )
    }

    private suspend fun attemptUntilAnswered() {
        while (true) {
            val ticket = parts.admission.place(request, progress.tried).getOrElse { return endUnplaced(it) }
            if (!parts.intake.isKeyCurrent(request.organisation)) {
                ticket.release()
                return endUnplaced(Refusal.STALE_CONFIGURATION)
            }
            val result = attempt(ticket)
            if (result is AttemptResult.Unanswered) {
                if (!continueAfter(result)) return
            } else {
                if (request.lastEventId == null) parts.estimates.observe(request, progress.events)
                return end("answered")
            }
        }
    }

    private suspend fun attempt(ticket: Ticket): AttemptResult {
        noteChoice(ticket)
        val speed = request.prompt?.let { parts.placer.speedOf(request.service, null) }
        val attempt = Attempt(request, ticket, progress, responder, parts.clock, speed, ::noteReplaced)
        return parts.silence.watch(attempt) { attempt.run() }
    }

    private fun noteReplaced(registration: TargetRegistration) {
        parts.targets.markReplaced(registration.id, registration.incarnation)
        parts.log.write("target-replaced", "target" to registration.id, "address" to registration.address)
    }

    private fun noteChoice(ticket: Ticket) {
        progress.target = ticket.target.id
        progress.tried += ticket.target.id
        progress.expectedMilliseconds = ticket.placement.expectedMilliseconds.toLong()
        progress.unreadTokens = ticket.placement.unreadTokens.takeIf { request.prompt != null }
        if (progress.waitedMilliseconds == null) {
            progress.waitedMilliseconds = parts.clock.nowMilliseconds() - request.arrivedAtMilliseconds
            request.prompt?.let { parts.usage.recordServed(request.account, it.chargedTokens) }
        }
    }

    /** Takes the next step after [result]; false when the request has ended. */
    private fun continueAfter(result: AttemptResult.Unanswered): Boolean {
        progress.detail = result.detail
        if (result.outcome == TargetOutcome.UNKNOWN ||
            result.outcome == TargetOutcome.FAILED
        ) {
            progress.mayHaveRun = true
        }
        progress.isAtTarget = false
        val step = NextStepPolicy.decide(result.outcome, stateNow()) { budget.tryAcquire(parts.budgets.instances) }
        if (step == NextStep.RETRY) {
            parts.meters.retries(result.outcome).increment()
            parts.log.write(
                "retry",
                "id" to request.id,
                "after" to result.outcome,
                "detail" to result.detail,
                "target" to progress.target,
                "attempts" to progress.attempts,
                "lastEventId" to progress.lastEventId,
            )
            return true
        }
        endAfter(step, result)
        return false
    }

    private fun stateNow() =
        AttemptState(
            mayRunAgain = request.route.mayRunAgain,
            mayHaveRun = progress.mayHaveRun,
            attempts = progress.attempts,
            maximumAttempts = request.route.maximumAttempts,
            remainingMilliseconds = request.deadlineAtMilliseconds - parts.clock.nowMilliseconds(),
        )

    private fun endAfter(step: NextStep, result: AttemptResult.Unanswered) {
        val failure = result.failure
        when {
            responder.hasBegun -> {
                refuse(Refusal.ANSWER_LOST)
            }

            step == NextStep.RELAY_FAILURE && failure != null -> {
                responder.relay(failure.status, failure.headers, failure.body)
                end("target-failure-${failure.status}")
            }

            step == NextStep.REFUSE -> {
                refuse(refusalOf(result.outcome))
            }

            else -> {
                refuse(Refusal.ANSWER_LOST)
            }
        }
    }

    private fun refusalOf(outcome: TargetOutcome): Refusal =
        if (outcome == TargetOutcome.REJECTED) Refusal.REJECTED_BY_TARGETS else Refusal.UNREACHABLE

    /** Ends a request for which no (further) target was found. */
    private fun endUnplaced(reason: Refusal) {
        if (progress.detail == null) progress.detail = parts.placer.explain(request)
        refuse(if (progress.mayHaveRun) Refusal.ANSWER_LOST else reason)
    }

    private fun endAtDeadline() {
        val mayRun = progress.mayHaveRun || progress.isAtTarget
        refuse(if (mayRun) Refusal.DEADLINE_WHILE_RUNNING else Refusal.DEADLINE_BEFORE_START)
    }

    private fun refuse(refusal: Refusal) {
        val remaining = request.deadlineAtMilliseconds - parts.clock.nowMilliseconds()
        val comeBack = if (refusal.isRetryable) RetryDelay.milliseconds(maxOf(0, remaining), parts.random) else null
        responder.refuse(refusal, request.id, comeBack)
        parts.meters.refusals(refusal).increment()
        end(refusal.label)
    }

    private fun end(outcome: String) {
        logEnd(outcome)
        parts.meters.noteEnd(request, outcome, progress, parts.clock.nowMilliseconds())
    }

    private companion object {
        /** The final answer has to reach the caller before its deadline. */
        const val ANSWER_MARGIN_MILLISECONDS = 25L
    }
}
