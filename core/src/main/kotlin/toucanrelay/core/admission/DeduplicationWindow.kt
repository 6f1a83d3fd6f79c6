package toucanrelay.core.admission

import toucanrelay.core.identity.RequestId
import toucanrelay.core.time.Clock

/** Result of looking up a request in a [DeduplicationWindow]. */
public enum class SeenStatus {
    /** The request was seen within the window. */
    SEEN,

    /** The request was not seen within the window. */
    NEVER_SEEN,

    /** The request is not in the window, but may be one of those evicted early because the window was full. */
    UNCERTAIN,
}

/**
 * Keeps the requests that this run of the agent has accepted recently, so that none runs twice on its target.
 *
 * Not thread-safe.
 *
 * @param clock monotonic clock of this process.
 * @param windowMilliseconds how long a request is kept; longer than any request waits for its answer.
 * @param capacity maximum number of requests kept; beyond it the oldest are evicted before their window ends.
 */
public class DeduplicationWindow(
    private val clock: Clock,
    private val windowMilliseconds: Long = WINDOW_MILLISECONDS,
    private val capacity: Int = CAPACITY_REQUESTS,
) {
    private val seenAtMilliseconds = LinkedHashMap<RequestId, Long>()
    private var lastEvictedSeenAtMilliseconds: Long? = null

    /** Adds [request]; returns false when it is in the window already. */
    public fun add(request: RequestId): Boolean {
        evictExpired()
        if (request in seenAtMilliseconds) return false
        seenAtMilliseconds[request] = clock.nowMilliseconds()
        if (seenAtMilliseconds.size > capacity) lastEvictedSeenAtMilliseconds = evictOldest()
        return true
    }

    /** Removes [request], which was accepted but returned without having run. */
    public fun remove(request: RequestId) {
        seenAtMilliseconds.remove(request)
    }

    /** Returns whether [request] was seen within the window, as far as known. */
    public fun lookUp(request: RequestId): SeenStatus {
        evictExpired()
        val lastEvicted = lastEvictedSeenAtMilliseconds
        return when {
            request in seenAtMilliseconds -> SeenStatus.SEEN
            lastEvicted != null && clock.nowMilliseconds() - lastEvicted <= windowMilliseconds -> SeenStatus.UNCERTAIN
            else -> SeenStatus.NEVER_SEEN
        }
    }

    private fun evictExpired() {
        val oldestKeptAtMilliseconds = clock.nowMilliseconds() - windowMilliseconds
        val oldest = seenAtMilliseconds.entries.iterator()
        while (oldest.hasNext() && oldest.next().value < oldestKeptAtMilliseconds) oldest.remove()
    }

    private fun evictOldest(): Long {
        val first = seenAtMilliseconds.entries.iterator()
        return first.next().value.also { first.remove() }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 900_000L
        const val CAPACITY_REQUESTS = 100_000
    }
}
