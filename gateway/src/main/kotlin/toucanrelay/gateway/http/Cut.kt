package toucanrelay.gateway.http

import toucanrelay.core.http.FramingFault

/**
 * Reasons for which a request is ended before the work on it is done.
 *
 * @property refusal the response if the request was not sent to a target.
 * @property closeReason why the connection is closed if the answer has begun.
 */
internal sealed class Cut(
    val refusal: Refusal,
    val closeReason: CloseReason,
) {
    /** The process is about to end. */
    data object Shutdown : Cut(Refusal.SHUTTING_DOWN, CloseReason.SHUTDOWN)

    /** The rest of the body did not arrive. */
    data object BodyTimeout : Cut(Refusal.BODY_TIMEOUT, CloseReason.IDLE_TIMEOUT)

    /** The body does not say where it ends. */
    class DoubtfulBody(
        fault: FramingFault,
    ) : Cut(Refusal.of(fault), CloseReason.DOUBTFUL_FRAMING)
}
