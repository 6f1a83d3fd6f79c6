package toucanrelay.core.target

/**
 * A registration and what this process has concluded from it.
 *
 * @property isLeaving whether this run of the target has ever said that it leaves.
 * @property coldUntilMilliseconds end of the cold start on the process's clock.
 * @property removedAtMilliseconds when the registration was seen to be gone; null while it stands.
 */
public data class RegisteredTarget(
    public val registration: TargetRegistration,
    public val isLeaving: Boolean,
    public val coldUntilMilliseconds: Long,
    public val removedAtMilliseconds: Long?,
)
