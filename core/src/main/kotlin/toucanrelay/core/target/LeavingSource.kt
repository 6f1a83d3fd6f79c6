package toucanrelay.core.target

/** Where this instance learnt first that a run of a target is leaving. */
public enum class LeavingSource {
    /** The target said so in an answer to this instance. */
    ANSWER,

    /** Another instance had it in an answer. */
    MEMBER,
}
