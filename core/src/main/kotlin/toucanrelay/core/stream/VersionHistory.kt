package toucanrelay.core.stream

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.time.Clock

/** A software version of the targets of one service. */
public data class ServiceVersion(
    public val service: String,
    public val version: SoftwareVersion,
)

/**
 * Remembers which software versions of each service have served recently, so that a stream may come from them.
 *
 * @param retentionMilliseconds returns how long a stream can be resumed after its version was last seen.
 */
public class VersionHistory(
    private val clock: Clock,
    private val retentionMilliseconds: () -> Long,
) {
    private class Sighting(
        var firstAtMilliseconds: Long,
        var lastAtMilliseconds: Long,
    )

    private val sightings = HashMap<ServiceVersion, Sighting>()

    /** Records that targets of [version] were registered [agoMilliseconds] ago, and first [ageMilliseconds] ago. */
    public fun record(version: ServiceVersion, agoMilliseconds: Long = 0, ageMilliseconds: Long = agoMilliseconds) {
        val firstAt = clock.nowMilliseconds() - ageMilliseconds
        val lastAt = clock.nowMilliseconds() - agoMilliseconds
        val sighting = sightings.getOrPut(version) { Sighting(firstAt, lastAt) }
        sighting.firstAtMilliseconds = minOf(sighting.firstAtMilliseconds, firstAt)
        sighting.lastAtMilliseconds = maxOf(sighting.lastAtMilliseconds, lastAt)
    }

    /** Returns the time since [version] was first registered, as far as is known; 0 if it was not. */
    public fun ageMilliseconds(version: ServiceVersion): Long =
        sightings[version]?.let { clock.nowMilliseconds() - it.firstAtMilliseconds } ?: 0

    /** Returns the versions of [service] that were registered recently. */
    public fun versionsOf(service: String): Set<SoftwareVersion> =
        recent().keys.filter { it.service == service }.mapTo(HashSet()) { it.version }

    /** Returns the recently registered versions of all services, with the time since each was last registered. */
    public fun recentVersions(): Map<ServiceVersion, Long> =
        recent().mapValues { (_, sighting) -> clock.nowMilliseconds() - sighting.lastAtMilliseconds }

    private fun recent(): Map<ServiceVersion, Sighting> {
        val oldest = clock.nowMilliseconds() - retentionMilliseconds()
        sightings.values.removeIf { it.lastAtMilliseconds < oldest }
        return sightings
    }
}
