package toucanrelay.core.admission

import toucanrelay.core.identity.RequestId

/** Where an admitted request goes. */
public enum class Placement {
    /** It runs now. */
    START,

    /** It waits at the agent for the next slot. */
    STAGE,

    /** There is no room for it. */
    FULL,
}

/**
 * The requests that run on a target and those staged for its next slots; the only way to a slot.
 *
 * Not safe for use by several threads at once.
 *
 * @param limit most requests that may run at once, read at each decision.
 */
public class SlotTable(
    private val limit: () -> Int,
) {
    private val runningRequests = LinkedHashSet<RequestId>()
    private val stagedRequests = LinkedHashSet<RequestId>()

    /** Requests that run. */
    public val running: Int
        get() = runningRequests.size

    /** Requests that wait for the next slot. */
    public val staged: Int
        get() = stagedRequests.size

    /** Slots that neither a running nor a staged request needs; negative after a cut of the limit. */
    public val spare: Int
        get() = limit() - running - staged

    /**
     * Takes in [request].
     *
     * @param reserved slots that are promised to others.
     * @param stagingDepth requests that may wait in all.
     */
    public fun place(request: RequestId, reserved: Int, stagingDepth: Int): Placement =
        when {
            spare - reserved > 0 -> {
                runningRequests += request
                Placement.START
            }

            staged < stagingDepth -> {
                stagedRequests += request
                Placement.STAGE
            }

            else -> {
                Placement.FULL
            }
        }

    /** Frees the slot or the place of [request]. */
    public fun release(request: RequestId) {
        if (!runningRequests.remove(request)) stagedRequests.remove(request)
    }

    /** Starts the staged requests for which there are slots, oldest first, and returns them. */
    public fun promote(): List<RequestId> {
        val started = stagedRequests.take((limit() - running).coerceAtLeast(0))
        stagedRequests.removeAll(started.toSet())
        runningRequests += started
        return started
    }

    /** Takes all staged requests out, none of which has run, and returns them. */
    public fun handBack(): List<RequestId> = stagedRequests.toList().also { stagedRequests.clear() }
}
