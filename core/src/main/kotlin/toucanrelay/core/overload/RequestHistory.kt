package toucanrelay.core.overload

/** Earlier attempts at a request that is to be placed on a target. */
public enum class RequestHistory {
    /** No earlier attempt. */
    NEW,

    /** The caller was refused before and retries. */
    CALLER_RETRY,

    /** A target started the request, but its answer was interrupted. */
    INTERRUPTED,
}
