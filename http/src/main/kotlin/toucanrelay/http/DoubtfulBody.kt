package toucanrelay.http

import toucanrelay.core.http.FramingFault

/**
 * A request whose body does not say where it ends.
 *
 * @property requestNumber one for the first request of its connection.
 * @property fault what is wrong with the body.
 */
public class DoubtfulBody(
    public val requestNumber: Int,
    public val fault: FramingFault,
)
