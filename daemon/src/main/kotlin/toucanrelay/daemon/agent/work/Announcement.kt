package toucanrelay.daemon.agent.work

/** The capacity to announce to one link. */
internal data class Announcement(
    val limit: Int,
    val inFlight: Int,
    val staged: Int,
    val free: Int,
    val isCold: Boolean,
    val isDraining: Boolean,
    val pools: Set<String>,
) {
    /** Whether an entry would act no differently; counts of requests alone do not matter to it. */
    fun isAlike(other: Announcement?): Boolean =
        other != null && copy(inFlight = other.inFlight, staged = other.staged) == other
}
