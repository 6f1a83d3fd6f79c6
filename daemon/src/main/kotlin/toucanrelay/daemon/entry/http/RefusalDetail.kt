package toucanrelay.daemon.entry.http

import toucanrelay.core.refusal.RefusalReason

/** Returns the default detail of a refusal for [reason], in one sentence for the caller. */
internal fun detailOf(reason: RefusalReason): String =
    when (reason) {
        RefusalReason.UNKNOWN_KEY -> "No organisation has this bearer key."
        RefusalReason.FORBIDDEN_POOL -> "The organisation may not use this model or service."
        RefusalReason.UNKNOWN_POOL -> "There is no such model or service."
        RefusalReason.MALFORMED_REQUEST -> "The request is malformed."
        RefusalReason.INCOMPLETE_REQUEST -> "The body did not arrive in time."
        RefusalReason.BODY_TOO_LARGE -> "The body is larger than the organisation may send."
        RefusalReason.TOO_MANY_WAITING -> "The organisation has too many requests waiting."
        RefusalReason.TOO_MANY_IN_FLIGHT -> "The organisation has too many requests in flight."
        RefusalReason.NO_BUNDLE -> "The relay has no configuration yet."
        RefusalReason.SHUTTING_DOWN -> "This instance is shutting down; send the request again."
        RefusalReason.TARGET_FULL -> "No target has a free slot."
        RefusalReason.TARGET_LEAVING -> "The target is leaving."
        RefusalReason.FAILURE_DOMAIN_OUT -> "The failure domain is out of service."
        RefusalReason.MODEL_NOT_LOADED -> "No target has loaded the model."
        RefusalReason.STALE_INCARNATION -> "The target's agent was restarted."
        RefusalReason.DUPLICATE_REQUEST -> "The request was received before."
        RefusalReason.TARGET_UNREACHABLE -> "The target could not be reached."
        RefusalReason.TARGET_REFUSED -> "The target refused the request."
        RefusalReason.DEADLINE_BEFORE_START -> "No target became free before the request's time was up."
        RefusalReason.NO_TARGET -> "No target for this model or service can be reached now."
        RefusalReason.RETRIES_EXHAUSTED -> "All attempts failed before the request ran."
        RefusalReason.CLAIM_UNAVAILABLE -> "The order could not be recorded, so it was not sent."
        RefusalReason.CLAIM_RATE_EXCEEDED -> "More orders arrive than can be recorded."
        RefusalReason.ORDER_RUNNING -> "A call with the same idempotency key is running."
        RefusalReason.IDEMPOTENCY_KEY_REUSED -> "The idempotency key was used for another call."
        RefusalReason.ORDER_OUTCOME_UNKNOWN -> "An earlier call with this idempotency key has no known outcome."
        RefusalReason.ANSWER_LOST -> "The connection to the target broke and the answer was lost."
        RefusalReason.TARGET_FAILED -> "The target failed while it ran the request."
        RefusalReason.DEADLINE_WHILE_RUNNING -> "The request's time was up before its answer was whole."
        RefusalReason.CUT_BY_SHUTDOWN -> "The relay stopped before the answer was whole."
        RefusalReason.CALLER_GONE -> "The caller closed the connection."
    }
