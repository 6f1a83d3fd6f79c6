package toucanrelay.gateway.dispatch

import toucanrelay.gateway.http.Refusal

/**
 * Why a request was not placed on a target.
 *
 * @property tries number of times that the request was tried on the targets; 0 if that was not counted.
 * @property returnMilliseconds time until the first target accepts requests again; null if that is not known.
 */
internal class Unplaced(
    val refusal: Refusal,
    val returnMilliseconds: Long? = null,
    val tries: Int = 0,
)
