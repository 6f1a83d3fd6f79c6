package toucanrelay.gateway.dispatch

import toucanrelay.core.overload.RetryDelay
import toucanrelay.core.retry.NextStep
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.Refusal

/** Ends [request] in one of the ways in which it can end, and records how. */
internal class RequestEnding(
    private val dependencies: RunnerDependencies,
    private val request: CallerRequest,
    private val progress: RequestProgress,
    private val responder: CallerResponder,
) {
    /** Records that the answer was passed on completely. */
    fun endAnswered() {
        dependencies.quarantine.recordAnswer(request.suspects)
        if (request.lastEventId == null) dependencies.outputEstimates.recordOutput(request, progress.events)
        progress.placedAtMilliseconds?.let {
            dependencies.routeDurations.record(request.route, dependencies.clock.nowMilliseconds() - it)
        }
        end("answered")
    }

    /** Ends the request as [step] says after an attempt with [result]. */
    fun endAfter(step: NextStep, result: AttemptResult.Unanswered) {
        val failure = progress.failure
        when {
            responder.hasBegun -> {
                refuse(Refusal.ANSWER_LOST)
            }

            (step == NextStep.RELAY_FAILURE || step == NextStep.FAIL) && failure != null -> {
                relay(failure)
            }

            step == NextStep.REFUSE -> {
                refuse(refusalOf(result.outcome))
            }

            else -> {
                refuse(Refusal.ANSWER_LOST)
            }
        }
    }

    private fun relay(failure: BufferedAnswer) {
        responder.relay(failure.status, failure.headers, failure.body)
        end("target-failure-${failure.status}")
    }

    private fun refusalOf(outcome: TargetOutcome): Refusal =
        if (outcome == TargetOutcome.REJECTED) Refusal.REJECTED_BY_TARGETS else Refusal.UNREACHABLE

    /** Ends the request for the reason that [unplaced] gives, without a further attempt. */
    fun endUnplaced(unplaced: Unplaced) {
        progress.detail = progress.detail ?: describe(unplaced)
        val failure = progress.failure
        when {
            !progress.mayHaveRun -> refuse(refusalOf(unplaced), unplaced.returnMilliseconds)
            failure != null && !responder.hasBegun -> relay(failure)
            else -> refuse(Refusal.ANSWER_LOST)
        }
    }

    private fun describe(unplaced: Unplaced): String =
        "${dependencies.placer.describeAvailability(progress.queryFor(request))} tries ${unplaced.tries}"

    private fun refusalOf(unplaced: Unplaced): Refusal {
        val version = progress.streamVersion ?: return unplaced.refusal
        val isGone = !dependencies.targets.isRegistered(ServiceVersion(request.service.name, version))
        return if (unplaced.refusal == Refusal.NO_TARGET && isGone) Refusal.VERSION_GONE else unplaced.refusal
    }

    /** Ends the request when its time is over; its answer may have been written just before. */
    fun endAtTimeout() {
        if (responder.isAnswered) end("answered") else endAtDeadline()
    }

    private fun endAtDeadline() {
        val mayRun = progress.mayHaveRun || progress.isAtTarget
        refuse(if (mayRun) Refusal.DEADLINE_WHILE_RUNNING else Refusal.DEADLINE_BEFORE_START)
    }

    /** Refuses the request; [returnMilliseconds] is when it can be served, if that is known. */
    private fun refuse(refusal: Refusal, returnMilliseconds: Long? = null) {
        val remaining = request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds()
        val delay =
            returnMilliseconds?.let { RetryDelay.afterReturnMilliseconds(it, dependencies.random) }
                ?: refusal.retryDelayMilliseconds(remaining, dependencies.random)
        responder.refuse(refusal, request.id, delay)
        dependencies.meters.refusals(refusal).increment()
        end(refusal.label)
    }

    private fun end(outcome: String) {
        log(outcome)
        dependencies.meters.recordEnd(request, outcome, progress, dependencies.clock.nowMilliseconds())
    }

    /** Logs that the request has ended with [outcome]. */
    fun log(outcome: String) {
        val now = dependencies.clock.nowMilliseconds()
        dependencies.log.write(
            "request",
            "id" to request.id,
            "route" to request.route.name,
            "organisation" to request.organisation?.id,
            "outcome" to outcome,
            "detail" to progress.detail,
            "target" to progress.target,
            "targetVersion" to progress.targetVersion,
            "streamVersion" to progress.streamVersion,
            "versionFrom" to progress.takeUp?.source?.label,
            "versionAgeMs" to progress.takeUp?.ageMilliseconds,
            "resumes" to request.resumes,
            "lastEventId" to request.lastEventId,
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
}
