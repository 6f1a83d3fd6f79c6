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
 * While a service has had a single version, that one began all its streams. Otherwise the origin of each stream is shared
 * with the other members and saved to the store.
 *
 * @param retentionMilliseconds returns how long a stream can be resumed after its version was last seen.
 * @param registrationsAgeMilliseconds returns the age of the copy of the registrations; null if there is none.
 */
internal class StreamMemory(
    private val clock: Clock,
    private val registry: TargetRegistry,
    retentionMilliseconds: () -> Long,
    private val registrationsAgeMilliseconds: () -> Long?,
) {
    private val history = VersionHistory(clock, retentionMilliseconds)
    private val sharedSinceMilliseconds = HashMap<String, Long>()

    /** The known origins of streams. */
    val origins = StreamOrigins(clock)

    /** Whether this process knows the versions that were in service before it started. */
    var isRestored: Boolean = false
        private set

    /** Whether versions may be in service that this process has not heard of. */
    val isOutdated: Boolean
        get() = (registrationsAgeMilliseconds() ?: Long.MAX_VALUE) > MAX_REGISTRATIONS_AGE_MILLISECONDS

    /** Records that this process knows the versions that were in service before it started. */
    fun recordRestored() {
        isRestored = true
    }

    /** Records that targets of [version] were registered [agoMilliseconds] ago. */
    fun recordVersion(version: ServiceVersion, agoMilliseconds: Long) {
        history.record(version, agoMilliseconds)
    }

    /** Records that a target of [version] writes the events of [stream], which can be resumed until [expiresAt]. */
    fun recordOwn(stream: StreamKey, version: ServiceVersion, expiresAt: Long) {
        origins.record(stream, StreamOrigin(version.service, version.version, OriginSource.OWN, expiresAt))
    }

    /** Returns the versions that may have begun a stream of [service] that can still be resumed. */
    fun versionsOf(service: String): Set<SoftwareVersion> {
        recordRegistered()
        return history.versionsOf(service)
    }

    /** Returns the versions of the services that have had several recently, with the time since each was registered. */
    fun contestedVersions(): Map<ServiceVersion, Long> {
        recordRegistered()
        return history.contested()
    }

    /** Returns the origins of streams that the other members may not know. */
    fun originsToShare(limit: Int): List<Pair<StreamKey, StreamOrigin>> {
        updateSharedServices()
        return origins.toShare(limit) { sharedSinceMilliseconds[it] }
    }

    private fun recordRegistered() {
        registry.registeredVersions().forEach { history.record(it) }
    }

    /** Begins or ends to share the origins of the streams of each service. */
    private fun updateSharedServices() {
        val services = if (isAgeing) registry.registeredVersions() else contestedVersions().keys
        val names = services.mapTo(HashSet()) { it.service }
        sharedSinceMilliseconds.keys.retainAll(names)
        names.forEach { sharedSinceMilliseconds.putIfAbsent(it, clock.nowMilliseconds()) }
    }

    /** Whether the registrations are so old that the other members may soon need more than those to tell versions. */
    private val isAgeing: Boolean
        get() = (registrationsAgeMilliseconds() ?: 0) > AGEING_REGISTRATIONS_MILLISECONDS

    private companion object {
        const val MAX_REGISTRATIONS_AGE_MILLISECONDS = 4_000L
        const val AGEING_REGISTRATIONS_MILLISECONDS = 2_000L
    }
}
