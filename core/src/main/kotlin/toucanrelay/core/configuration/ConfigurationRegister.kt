package toucanrelay.core.configuration

import toucanrelay.core.time.Clock

/**
 * Holds the newest configuration and the moment at which it was last known to be the newest.
 *
 * Versions never go back. The age is counted from before the question to the store was sent, so that the true age is
 * never larger than the one told here.
 *
 * @param clock a clock that also counts the time during which the instance is suspended.
 */
public class ConfigurationRegister(
    private val clock: Clock,
) {
    private var confirmedAtMilliseconds: Long? = null

    /** The newest configuration; null before the first one arrived. */
    public var current: Configuration? = null
        private set

    /** Takes [configuration] if it is newer than the current one, and tells whether it was. */
    public fun offer(configuration: Configuration): Boolean {
        val isNewer = configuration.version > (current?.version ?: Long.MIN_VALUE)
        if (isNewer) current = configuration
        return isNewer
    }

    /** Notes that no version newer than the current one existed at [askedAtMilliseconds]. */
    public fun confirm(askedAtMilliseconds: Long) {
        confirmedAtMilliseconds = maxOf(askedAtMilliseconds, confirmedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** Time since the current configuration was known to be the newest; null when it never was. */
    public fun ageMilliseconds(): Long? = confirmedAtMilliseconds?.let { clock.nowMilliseconds() - it }

    /** Whether the current configuration was the newest at most [maximumAgeMilliseconds] ago. */
    public fun isFresh(maximumAgeMilliseconds: Long): Boolean {
        val age = ageMilliseconds() ?: return false
        return age in 0..maximumAgeMilliseconds
    }
}
