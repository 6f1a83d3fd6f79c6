package toucanrelay.core.admission

import toucanrelay.core.identity.RequestId
import toucanrelay.core.time.Clock

/** What a [RequestMemory] knows of a request. */
public enum class Recollection {
    /** The request was remembered. */
    SEEN,

    /** The request was not remembered within the window. */
    NEVER_SEEN,

    /** The memory was full and has dropped requests within the window; this may be one of them. */
    UNCERTAIN,
}

/**
 * Remembers which requests this run of the agent has taken, so that none runs twice on its target.
 *
 * Not safe for use by several threads at once.
 *
 * @param clock monotonic clock of this process.
 * @param windowMilliseconds how long a request is remembered; longer than any request may wait for its answer.
 * @param capacity most requests remembered; beyond it the oldest are dropped before the window ends.
 */
public class RequestMemory(
    private val clock: Clock,
    private val windowMilliseconds: Long = WINDOW_MILLISECONDS,
    private val capacity: Int = CAPACITY,
) {
    private val seenAt = LinkedHashMap<RequestId, Long>()
    private var droppedUntil: Long? = null

    /** Remembers [request] from now on; false when it was remembered already. */
    public fun remember(request: RequestId): Boolean {
        dropOld()
        if (request in seenAt) return false
        seenAt[request] = clock.nowMilliseconds()
        if (seenAt.size > capacity) droppedUntil = dropFirst()
        return true
    }

    /** Forgets [request]: it was taken and given back without having run. */
    public fun forget(request: RequestId) {
        seenAt.remove(request)
    }

    /** Tells what is known of [request]. */
    public fun recall(request: RequestId): Recollection {
        dropOld()
        val dropped = droppedUntil
        return when {
            request in seenAt -> Recollection.SEEN
            dropped != null && clock.nowMilliseconds() - dropped <= windowMilliseconds -> Recollection.UNCERTAIN
            else -> Recollection.NEVER_SEEN
        }
    }

    private fun dropOld() {
        val horizon = clock.nowMilliseconds() - windowMilliseconds
        val oldest = seenAt.entries.iterator()
        while (oldest.hasNext() && oldest.next().value < horizon) oldest.remove()
    }

    private fun dropFirst(): Long {
        val first = seenAt.entries.iterator()
        return first.next().value.also { first.remove() }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 900_000L
        const val CAPACITY = 100_000
    }
}
