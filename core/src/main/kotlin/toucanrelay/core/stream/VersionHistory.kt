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
    private val lastSeenAtMilliseconds = HashMap<ServiceVersion, Long>()

    /** Records that targets of [version] were registered [agoMilliseconds] ago. */
    public fun record(version: ServiceVersion, agoMilliseconds: Long = 0) {
        val seenAt = clock.nowMilliseconds() - agoMilliseconds
        lastSeenAtMilliseconds.merge(version, seenAt, ::maxOf)
    }

    /** Returns the versions of [service] that were registered recently. */
    public fun versionsOf(service: String): Set<SoftwareVersion> =
        recent().keys.filter { it.service == service }.mapTo(HashSet()) { it.version }

    /** Returns the recently registered versions of the services that had several, with the time since each was seen. */
    public fun contested(): Map<ServiceVersion, Long> {
        val byService = recent().entries.groupBy { it.key.service }
        return byService.values
            .filter { it.size > 1 }
            .flatten()
            .associate { (version, seenAt) -> version to clock.nowMilliseconds() - seenAt }
    }

    private fun recent(): Map<ServiceVersion, Long> {
        val oldest = clock.nowMilliseconds() - retentionMilliseconds()
        lastSeenAtMilliseconds.values.removeIf { it < oldest }
        return lastSeenAtMilliseconds
    }
}
