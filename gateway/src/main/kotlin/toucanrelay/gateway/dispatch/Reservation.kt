package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.RegionId
import toucanrelay.core.placement.Placement
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.RegisteredTarget
import toucanrelay.gateway.target.Target

/**
 * Capacity of a target reserved for one request; counts towards the target's load until it is released.
 *
 * @property region the target's region; null if it is unknown.
 * @property tokensAhead unread prompt tokens at the target, including those of this request.
 */
internal class Reservation(
    val registered: RegisteredTarget,
    val target: Target,
    val placement: Placement,
    val region: RegionId?,
    val tokensAhead: Long,
    private var load: TargetLoad,
    private val onRelease: () -> Unit,
) {
    private var hasFirstEvent = false
    private var isReleased = false

    init {
        target.load += load
    }

    /** Records the first event, which means that the engine has read the prompt. */
    fun recordFirstEvent() {
        if (hasFirstEvent || isReleased) return
        hasFirstEvent = true
        replaceLoad(load.copy(unreadTokens = 0))
        onRelease()
    }

    /** Releases the capacity when the request is no longer at the target. */
    fun release() {
        if (isReleased) return
        isReleased = true
        replaceLoad(TargetLoad.NONE)
        onRelease()
    }

    private fun replaceLoad(next: TargetLoad) {
        target.load =
            TargetLoad(
                target.load.requests - load.requests + next.requests,
                target.load.unreadTokens - load.unreadTokens + next.unreadTokens,
                target.load.memoryTokens - load.memoryTokens + next.memoryTokens,
            )
        load = next
    }
}
