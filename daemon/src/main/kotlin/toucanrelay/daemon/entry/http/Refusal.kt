package toucanrelay.daemon.entry.http

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason

/**
 * Why a caller gets no answer, as the caller is told.
 *
 * @property reason the reason.
 * @property detail what happened with this request, in a sentence.
 * @property executed whether the request may have run.
 */
internal data class Refusal(
    val reason: RefusalReason,
    val detail: String,
    val executed: Executed = Executed.NO,
)
