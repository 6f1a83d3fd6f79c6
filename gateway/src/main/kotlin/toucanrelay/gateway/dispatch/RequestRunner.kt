package toucanrelay.gateway.dispatch

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.quarantine.SuspectCondition
import toucanrelay.core.retry.AttemptState
import toucanrelay.core.retry.NextStep
import toucanrelay.core.retry.NextStepPolicy
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.target.TargetRegistration
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.RequestWork
import toucanrelay.gateway.stream.TakeUp

/** Serves one accepted request: sends it to targets until it is answered or must not be retried. */
internal class RequestRunner(
    private val dependencies: RunnerDependencies,
    private val request: CallerRequest,
    private val responder: CallerResponder,
) : RequestWork,
    HedgeSource<Attempt> {
    private val progress = RequestProgress(request.lastEventId)
    private val retryBudget = dependencies.retryBudgets.forService(request.service.name)

    private val conditions = SendConditions(dependencies, request, progress)
    private val ending = RequestEnding(dependencies, request, progress, responder)

    override val wasSent: Boolean
        get() = progress.attempts > 0

    override suspend fun run() {
        retryBudget.recordRequest()
        dependencies.serviceDemand.recordRequest(request.service.name)
        request.prompt?.let { dependencies.organisationUsage.recordDemand(request.usageKey, it.chargedTokens) }
        val remaining =
            request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds() - ANSWER_MARGIN_MILLISECONDS
        val isDone = withTimeoutOrNull(maxOf(1, remaining)) { decideAndServe() }
        if (isDone == null) ending.endAtTimeout()
    }

    private suspend fun decideAndServe() {
        when (val takeUp = dependencies.takeUps.decide(request)) {
            TakeUp.None -> Unit
            is TakeUp.Continue -> recordTakeUp(takeUp)
            is TakeUp.Refuse -> return refuseTakeUp(takeUp)
        }
        attemptUntilAnswered()
    }

    override fun logEnd(outcome: String) = ending.log(outcome)

    private fun recordTakeUp(takeUp: TakeUp.Continue) {
        progress.takeUp = takeUp
        progress.streamVersion = takeUp.version
    }

    private fun refuseTakeUp(takeUp: TakeUp.Refuse) {
        progress.detail = takeUp.detail
        ending.endUnplaced(Unplaced(takeUp.refusal))
    }

    private val query: PlacementQuery
        get() = progress.queryFor(request)

    private suspend fun attemptUntilAnswered() {
        while (true) {
            conditions.refusal()?.let { return ending.endUnplaced(Unplaced(it)) }
            val reservation =
                dependencies.admission.place(query).getOrElse { return ending.endUnplaced(it) }
            conditions.refusal()?.let {
                reservation.release()
                return ending.endUnplaced(Unplaced(it))
            }
            val unanswered = HedgedAttempts(dependencies.silenceDetector, this).run { createAttempt(reservation, it) }
            if (unanswered != null) {
                recordUnanswered(unanswered)
                if (!continueAfter(unanswered.result)) return
            } else {
                return ending.endAnswered()
            }
        }
    }

    private fun createAttempt(reservation: Reservation, claim: (Attempt) -> Unit): Attempt {
        recordPlacement(reservation)
        return Attempt(
            request,
            reservation,
            progress,
            responder,
            dependencies.clock,
            request.prompt?.let { dependencies.placer.speedOf(request.service, null) },
            dependencies.statements,
            dependencies.answerMemory.newShare(),
            { dependencies.placer.reasonNotToSend(reservation) ?: TOO_LATE.takeIf { isOverdue() } },
            { dependencies.takeUps.recordEvent(request, it) },
            ::recordReplaced,
            claim,
        )
    }

    /** Returns whether the request's time is over, although the timer that ends it may not have fired yet. */
    private fun isOverdue(): Boolean =
        request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds() <= ANSWER_MARGIN_MILLISECONDS

    override fun createHedge(claim: (Attempt) -> Unit): Attempt? = reserveHedge()?.let { createAttempt(it, claim) }

    private fun reserveHedge(): Reservation? {
        if (!mayBeHedged()) return null
        val fleetSize = dependencies.retryBudgets.fleetSize
        if (!retryBudget.isAvailable(fleetSize)) return null
        val silent = progress.target
        val reservation = dependencies.admission.placeAtOnce(query) ?: return null
        retryBudget.tryAcquire(fleetSize)
        progress.mayHaveRun = true
        dependencies.meters.hedges.increment()
        dependencies.log.write(
            "hedge",
            "id" to request.id,
            "silent" to silent,
            "target" to reservation.target.id,
            "attempts" to progress.attempts,
            "lastEventId" to progress.lastEventId,
        )
        return reservation
    }

    private fun mayBeHedged(): Boolean =
        request.route.mayRunAgain &&
            progress.mayBeContinued &&
            progress.attempts < request.route.maxAttempts &&
            request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds() >= MIN_HEDGE_MILLISECONDS &&
            dependencies.quarantine.worstCondition(request.suspects) == SuspectCondition.SOUND &&
            conditions.refusal() == null

    private fun recordReplaced(registration: TargetRegistration) {
        dependencies.targets.markLeaving(registration.id, registration.incarnation)
        dependencies.log.write("target-replaced", "target" to registration.id, "address" to registration.address)
    }

    private fun recordPlacement(reservation: Reservation) {
        progress.target = reservation.target.id
        progress.targetVersion = reservation.registered.registration.version
        progress.tried += reservation.target.id
        progress.placedAtMilliseconds = progress.placedAtMilliseconds ?: dependencies.clock.nowMilliseconds()
        progress.expectedMilliseconds = reservation.placement.expectedMilliseconds.toLong()
        progress.unreadTokens = reservation.placement.unreadTokens.takeIf { request.prompt != null }
        if (progress.waitedMilliseconds == null) {
            progress.waitedMilliseconds = dependencies.clock.nowMilliseconds() - request.arrivedAtMilliseconds
            request.prompt?.let {
                dependencies.organisationUsage.recordServed(request.usageKey, it.chargedTokens, reservation.region)
            }
        }
    }

    override fun recordUnanswered(unanswered: UnansweredAttempt<Attempt>) {
        val result = unanswered.result
        result.brokenOff?.let {
            progress.wasBrokenOff = true
            dependencies.crashDetector.recordBrokenOff(request, unanswered.attempt.reservation, it)
        }
        progress.failure = result.failure ?: progress.failure
        progress.detail = result.detail
        result.tooLarge?.let { dependencies.meters.tooLargeAnswers(it).increment() }
        if (result.outcome == TargetOutcome.UNKNOWN || result.outcome == TargetOutcome.FAILED) {
            progress.mayHaveRun = true
        }
    }

    /** Decides on the next step after [result]; returns false if the request has ended. */
    private fun continueAfter(result: AttemptResult.Unanswered): Boolean {
        progress.isAtTarget = false
        val step =
            NextStepPolicy.decide(result.outcome, attemptState()) {
                retryBudget.tryAcquire(dependencies.retryBudgets.fleetSize)
            }
        if (step == NextStep.RETRY) {
            dependencies.meters.retries(result.outcome).increment()
            dependencies.log.write(
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
        ending.endAfter(step, result)
        return false
    }

    private fun attemptState() =
        AttemptState(
            mayRunAgain = request.route.mayRunAgain && progress.mayBeContinued && !wouldRiskCrash(),
            mayHaveRun = progress.mayHaveRun,
            attempts = progress.attempts,
            maxAttempts = request.route.maxAttempts,
            remainingMilliseconds = request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds(),
        )

    /** Returns whether the request may have crashed its target and targets have crashed on it or its prompt before. */
    private fun wouldRiskCrash(): Boolean =
        progress.wasBrokenOff &&
            dependencies.quarantine.worstCondition(request.suspects) != SuspectCondition.SOUND

    private companion object {
        /** Time reserved before the deadline so that the final answer still reaches the caller. */
        const val ANSWER_MARGIN_MILLISECONDS = 25L
        const val TOO_LATE = "the deadline has passed"

        /** Time that another target needs at least for an answer. */
        const val MIN_HEDGE_MILLISECONDS = 60L
    }
}
