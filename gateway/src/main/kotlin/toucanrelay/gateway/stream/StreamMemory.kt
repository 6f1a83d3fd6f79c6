package toucanrelay.gateway.stream

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.stream.StreamKey
import toucanrelay.core.stream.StreamOrigin
import toucanrelay.core.stream.StreamOrigins
import toucanrelay.core.stream.VersionHistory
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.Clock

/**
 * What this process knows of the software versions that began streams; confined to the event loop.
 *
 * The origin of each stream is shared with the other members, since its own one may no longer be there to tell it when
 * another version comes. While a service has had several versions, origins are also saved to the store.
 *
 * @param retentionMilliseconds returns how long a stream can be resumed after its version was last seen.
 * @param registrationsAgeMilliseconds returns the age of the copy of the registrations; null if there is none.
 */
internal class StreamMemory(
    private val clock: Clock,
    private val registry: TargetRegistry,
    private val retentionMilliseconds: () -> Long,
    private val registrationsAgeMilliseconds: () -> Long?,
) {
    private val history = VersionHistory(clock, retentionMilliseconds)
    private val repeatedSinceMilliseconds = HashMap<String, Long>()
    private var missesVersionsUntilMilliseconds = Long.MIN_VALUE

    /** The known origins of streams. */
    val origins = StreamOrigins(clock)

    /** Whether this process knows the versions that were in service before it started. */
    var isRestored: Boolean = false
        private set

    /** Whether versions may have begun streams that this process has never seen registered. */
    val mayMissVersions: Boolean
        get() = clock.nowMilliseconds() < missesVersionsUntilMilliseconds

    /** Records that this process knows the versions that were in service before it started. */
    fun recordRestored() {
        isRestored = true
    }

    /** Records that targets may have been registered and removed again that this process has not seen. */
    fun recordMissedVersions() {
        missesVersionsUntilMilliseconds = clock.nowMilliseconds() + retentionMilliseconds()
    }

    /** Records that targets of [version] were last registered [agoMilliseconds] ago, and first [ageMilliseconds] ago. */
    fun recordVersion(version: ServiceVersion, agoMilliseconds: Long, ageMilliseconds: Long) {
        history.record(version, agoMilliseconds, ageMilliseconds)
    }

    /** Returns the time since targets of [version] were first registered, as far as is known. */
    fun ageMilliseconds(version: ServiceVersion): Long = history.ageMilliseconds(version)

    /** Records that a target of [version] writes the events of [stream], which can be resumed until [expiresAt]. */
    fun recordOwn(stream: StreamKey, version: ServiceVersion, expiresAt: Long) {
        origins.record(stream, StreamOrigin(version.service, version.version, OriginSource.OWN, expiresAt))
    }

    /** Returns the versions that may have begun a stream of [service] that can still be resumed. */
    fun versionsOf(service: String): Set<SoftwareVersion> {
        recordRegistered()
        return history.versionsOf(service)
    }

    /** Returns the versions that were registered recently, with the time since then; 0 for those that still are. */
    fun recentVersions(): Map<ServiceVersion, Long> {
        recordRegistered()
        return history.recentVersions()
    }

    /** Returns those of [recentVersions] whose services have had several. */
    fun contestedVersions(): Map<ServiceVersion, Long> {
        val recent = recentVersions()
        val byService = recent.keys.groupBy { it.service }
        return recent.filterKeys { byService.getValue(it.service).size > 1 }
    }

    /**
     * Returns those of [versions] that may begin streams: not the ones that are new, unless there are no others.
     *
     * A version is new until a member has had the time to save it, so that all processes that start know of it.
     *
     * @param versions the versions of the targets that could begin a stream.
     */
    fun beginningVersions(versions: List<ServiceVersion>): Set<ServiceVersion> {
        val distinct = versions.toSet()
        if (distinct.size < 2) return distinct
        val settled = distinct.filterTo(HashSet()) { ageMilliseconds(it) >= SETTLING_MILLISECONDS }
        return settled.ifEmpty { setOf(mostFrequent(versions)) }
    }

    private fun mostFrequent(versions: List<ServiceVersion>): ServiceVersion {
        val counts = versions.groupingBy { it }.eachCount()
        return counts.entries.maxWith(compareBy({ it.value }, { it.key.version.value })).key
    }

    /** Returns the origins of streams that the other members may not know. */
    fun originsToShare(limit: Int): List<Pair<StreamKey, StreamOrigin>> {
        updateRepeatedServices()
        return origins.toShare(limit) { repeatedSinceMilliseconds[it] }
    }

    private fun recordRegistered() {
        registry.registeredVersions().forEach { history.record(it) }
    }

    /** Begins or ends to share all origins of the streams of each service once more, for members that lack earlier ones. */
    private fun updateRepeatedServices() {
        val services = if (isAgeing) registry.registeredVersions() else contestedVersions().keys
        val names = services.mapTo(HashSet()) { it.service }
        repeatedSinceMilliseconds.keys.retainAll(names)
        names.forEach { repeatedSinceMilliseconds.putIfAbsent(it, clock.nowMilliseconds()) }
    }

    /** Whether the registrations are so old that the other members may soon need more than those to tell versions. */
    private val isAgeing: Boolean
        get() = (registrationsAgeMilliseconds() ?: 0) > AGEING_REGISTRATIONS_MILLISECONDS

    private companion object {
        const val SETTLING_MILLISECONDS = 2_500L
        const val AGEING_REGISTRATIONS_MILLISECONDS = 1_500L
    }
}
