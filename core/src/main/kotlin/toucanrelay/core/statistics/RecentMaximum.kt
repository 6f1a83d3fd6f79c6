package toucanrelay.core.statistics

import toucanrelay.core.time.Clock

/** Keeps the largest of the recent values: those of at least the last [windowMilliseconds], and at most twice that. */
public class RecentMaximum(
    private val clock: Clock,
    private val windowMilliseconds: Long,
) {
    private var startedAtMilliseconds = clock.nowMilliseconds()
    private var inWindow: Long? = null
    private var inWindowBefore: Long? = null

    /** The largest recent value; null if there is none. */
    public val value: Long?
        get() {
            advance()
            return listOfNotNull(inWindow, inWindowBefore).maxOrNull()
        }

    /** Adds [value]. */
    public fun add(value: Long) {
        advance()
        inWindow = maxOf(value, inWindow ?: value)
    }

    private fun advance() {
        val windows = (clock.nowMilliseconds() - startedAtMilliseconds) / windowMilliseconds
        if (windows == 0L) return
        inWindowBefore = inWindow.takeIf { windows == 1L }
        inWindow = null
        startedAtMilliseconds += windows * windowMilliseconds
    }
}
