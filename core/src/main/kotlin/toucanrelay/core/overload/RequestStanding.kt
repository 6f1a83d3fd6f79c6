package toucanrelay.core.overload

/** What a request that looks for a target has behind it. */
public enum class RequestStanding {
    /** Nothing yet. */
    NEW,

    /** The caller was refused and has come back. */
    RETURNED,

    /** A target has worked on the request, and its answer broke off. */
    BEGUN,
}
