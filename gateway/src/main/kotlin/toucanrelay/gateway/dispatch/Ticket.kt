package toucanrelay.gateway.dispatch

import toucanrelay.core.placement.Placement
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.RegisteredTarget
import toucanrelay.gateway.target.Target

/** The right to send one request to one target; counts towards the target's load until it is released. */
internal class Ticket(
    val registered: RegisteredTarget,
    val target: Target,
    val placement: Placement,
    val tokensAhead: Long,
    private var held: TargetLoad,
    private val onRelease: () -> Unit,
) {
    private var hasBegun = false
    private var isReleased = false

    init {
        target.load += held
    }

    /** Notes that the engine has read the prompt. */
    fun noteFirstEvent() {
        if (hasBegun || isReleased) return
        hasBegun = true
        replaceHeld(held.copy(unreadTokens = 0))
        onRelease()
    }

    /** Notes that the request is no longer at the target. */
    fun release() {
        if (isReleased) return
        isReleased = true
        replaceHeld(TargetLoad.NONE)
        onRelease()
    }

    private fun replaceHeld(next: TargetLoad) {
        target.load =
            TargetLoad(
                target.load.requests - held.requests + next.requests,
                target.load.unreadTokens - held.unreadTokens + next.unreadTokens,
                target.load.memoryTokens - held.memoryTokens + next.memoryTokens,
            )
        held = next
    }
}
