package toucanrelay.daemon.agent.work

/** Capacity announced to the entry of one link. */
internal data class CapacityAnnouncement(
    val limit: Int,
    val inFlight: Int,
    val staged: Int,
    val free: Int,
    val isCold: Boolean,
    val isDraining: Boolean,
    val pools: Set<String>,
) {
    /** Returns whether [other] differs at most in the request counts, on which entries do not act. */
    fun isEquivalentTo(other: CapacityAnnouncement?): Boolean =
        other != null && copy(inFlight = other.inFlight, staged = other.staged) == other
}
