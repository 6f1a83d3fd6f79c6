package toucanrelay.daemon.entry.http

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason

/**
 * The refusal that is reported to a caller instead of an answer.
 *
 * @property reason why the request is refused.
 * @property detail what happened to this request, in one sentence.
 * @property executed whether the request may have run.
 */
internal data class Refusal(
    val reason: RefusalReason,
    val detail: String,
    val executed: Executed = Executed.NO,
)
