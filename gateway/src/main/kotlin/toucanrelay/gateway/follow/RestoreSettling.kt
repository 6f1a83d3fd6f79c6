package toucanrelay.gateway.follow

import toucanrelay.core.time.Clock

/**
 * Tracks the time after a restore of the store from an earlier copy in which operators and targets write again what the
 * store lost.
 */
internal class RestoreSettling(
    private val clock: Clock,
) {
    private var settlesAtMilliseconds: Long? = null

    /** Version number up to which rows come from the copy; null if the store was not restored. */
    var restoredNumber: Long? = null
        private set

    /** Whether lost rows may still be missing. */
    val isSettling: Boolean
        get() = settlesAtMilliseconds != null

    /** Records that the store was restored and that its rows up to [number] were read. */
    fun begin(number: Long) {
        restoredNumber = number
        settlesAtMilliseconds = clock.nowMilliseconds() + SETTLING_MILLISECONDS
    }

    /** Returns whether the time for writing lost rows again has passed since [begin] and [end] was not called. */
    fun hasSettled(): Boolean = settlesAtMilliseconds?.let { clock.nowMilliseconds() >= it } ?: false

    /** Records that the restored rows are applied. */
    fun end() {
        settlesAtMilliseconds = null
    }

    private companion object {
        /** Targets renew their registrations within two seconds after an outage of the store. */
        const val SETTLING_MILLISECONDS = 2_200L
    }
}
