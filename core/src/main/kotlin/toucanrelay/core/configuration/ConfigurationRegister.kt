package toucanrelay.core.configuration

import toucanrelay.core.time.Clock

/**
 * Holds the newest configuration and the time at which it was last confirmed to be the newest.
 *
 * The version never decreases. The age is counted from before the request to the store was sent, so that the reported
 * age is never less than the true one.
 *
 * @param clock a clock that keeps running while the instance is suspended.
 */
public class ConfigurationRegister(
    private val clock: Clock,
) {
    private var confirmedAtMilliseconds: Long? = null
    private var inForceAtMilliseconds: Long? = null

    /** The newest configuration; null until the first one has arrived. */
    public var current: Configuration? = null
        private set

    /** Replaces the current configuration if [configuration] is newer, and returns whether it is. */
    public fun offer(configuration: Configuration): Boolean {
        val isNewer = configuration.version > (current?.version ?: Long.MIN_VALUE)
        if (isNewer) {
            current = configuration
            inForceAtMilliseconds = clock.nowMilliseconds()
        }
        return isNewer
    }

    /** Records that the current version was the newest one at [requestedAtMilliseconds]. */
    public fun confirm(requestedAtMilliseconds: Long) {
        confirmedAtMilliseconds = maxOf(requestedAtMilliseconds, confirmedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** Returns the time since the current configuration was last confirmed as the newest; null when it never was. */
    public fun ageMilliseconds(): Long? = confirmedAtMilliseconds?.let { clock.nowMilliseconds() - it }

    /** Returns the time since the current configuration replaced the one before it; null when there is none. */
    public fun inForceMilliseconds(): Long? = inForceAtMilliseconds?.let { clock.nowMilliseconds() - it }

    /** Returns whether the current configuration was confirmed as the newest at most [maxAgeMilliseconds] ago. */
    public fun isFresh(maxAgeMilliseconds: Long): Boolean {
        val age = ageMilliseconds() ?: return false
        return age in 0..maxAgeMilliseconds
    }
}
