package toucanrelay.core.http

/** What the status codes of responses say of them (RFC 9110, section 15). */
public object ResponseStatus {
    private val finalStatuses = 200..599
    private val statusesWithoutBody = setOf(204, 304)

    /** Returns whether the final response to a request can have [status]. */
    public fun isFinal(status: Int): Boolean = status in finalStatuses

    /** Returns whether a final response with [status] can have a body; otherwise it ends with its head. */
    public fun hasBody(status: Int): Boolean = status !in statusesWithoutBody
}
