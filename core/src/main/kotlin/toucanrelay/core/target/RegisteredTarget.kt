package toucanrelay.core.target

/**
 * A target's registration together with the state that this process derives from it.
 *
 * @property isLeaving whether this run of the target has ever been announced or found to be leaving.
 * @property coldUntilMilliseconds end of the cold start on this process's clock.
 * @property removedAtMilliseconds clock reading when the registration was found removed; null while it is registered.
 */
public data class RegisteredTarget(
    public val registration: TargetRegistration,
    public val isLeaving: Boolean,
    public val coldUntilMilliseconds: Long,
    public val removedAtMilliseconds: Long?,
)
