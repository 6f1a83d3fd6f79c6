package toucanrelay.http

import toucanrelay.core.http.FramingFault

/** The end of a message is in doubt because of [fault]. */
public class DoubtfulFraming(
    public val fault: FramingFault,
) : Exception(fault.detail)
