package toucanrelay.core.admission

import toucanrelay.core.identity.RequestId

/** Result of placing a request in a [SlotTable]. */
public enum class AdmissionDecision {
    /** The request runs now. */
    START,

    /** The request waits at the agent for the next free slot. */
    STAGE,

    /** Neither a slot nor room for staging is free. */
    FULL,
}

/**
 * Assigns the slots of a target, and holds its running requests and those staged for the next free slots.
 *
 * A request gets a slot in no other way.
 *
 * Not thread-safe.
 *
 * @param limit returns the maximum number of concurrent requests; called for each decision.
 */
public class SlotTable(
    private val limit: () -> Int,
) {
    private val runningRequests = LinkedHashSet<RequestId>()
    private val stagedRequests = LinkedHashSet<RequestId>()

    /** Number of requests that run. */
    public val running: Int
        get() = runningRequests.size

    /** Number of requests that wait for a slot. */
    public val staged: Int
        get() = stagedRequests.size

    /** Slots beyond those of running and staged requests; can be negative after the limit was reduced. */
    public val spare: Int
        get() = limit() - running - staged

    /**
     * Starts or stages [request], or leaves it out when there is no room.
     *
     * @param reserved slots reserved for other requests.
     * @param stagingDepth maximum number of staged requests.
     */
    public fun place(request: RequestId, reserved: Int, stagingDepth: Int): AdmissionDecision =
        when {
            spare - reserved > 0 -> {
                runningRequests += request
                AdmissionDecision.START
            }

            staged < stagingDepth -> {
                stagedRequests += request
                AdmissionDecision.STAGE
            }

            else -> {
                AdmissionDecision.FULL
            }
        }

    /** Releases the slot of [request], or removes it from the staged requests. */
    public fun release(request: RequestId) {
        if (!runningRequests.remove(request)) stagedRequests.remove(request)
    }

    /** Starts staged requests, oldest first, while slots are free, and returns them. */
    public fun promote(): List<RequestId> {
        val started = stagedRequests.take((limit() - running).coerceAtLeast(0))
        stagedRequests.removeAll(started.toSet())
        runningRequests += started
        return started
    }

    /** Removes and returns all staged requests, none of which has run. */
    public fun removeStaged(): List<RequestId> = stagedRequests.toList().also { stagedRequests.clear() }
}
