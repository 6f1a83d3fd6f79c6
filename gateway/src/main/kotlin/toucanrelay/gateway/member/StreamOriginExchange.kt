package toucanrelay.gateway.member

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.stream.StreamKey
import toucanrelay.core.stream.StreamOrigin
import toucanrelay.core.time.Clock
import toucanrelay.gateway.stream.StreamMemory

/** Converts the origins of streams between [StreamMemory] and digests, which carry times that remain. */
internal class StreamOriginExchange(
    private val memory: StreamMemory,
    private val clock: Clock,
) {
    /** Returns the origins for the next digest. */
    fun shared(): List<StreamOriginsEntry> {
        val now = clock.nowMilliseconds()
        val byVersion = memory.originsToShare(MAX_STREAMS_PER_DIGEST).groupBy { (_, origin) -> origin.serviceVersion }
        return byVersion.map { (version, streams) ->
            StreamOriginsEntry(
                version.service,
                version.version.value,
                streams.map { (key, origin) -> StreamEntry(key.value, origin.expiresAtMilliseconds - now) },
            )
        }
    }

    /** Returns the versions of the services that have had several recently, for the next digest. */
    fun sharedVersions(): List<ServiceVersionEntry> =
        memory.contestedVersions().map { (version, ago) ->
            ServiceVersionEntry(version.service, version.version.value, ago, memory.ageMilliseconds(version))
        }

    /** Records what another member's [digest] says of streams and versions. */
    fun receive(digest: MemberDigest) {
        digest.versions.forEach {
            memory.recordVersion(versionOf(it.service, it.version), it.agoMilliseconds, it.ageMilliseconds)
        }
        digest.streamOrigins.forEach { receive(it) }
        if (digest.knowsVersions) memory.recordRestored()
    }

    private fun receive(entry: StreamOriginsEntry) {
        val now = clock.nowMilliseconds()
        val version = versionOf(entry.service, entry.version)
        entry.streams.forEach { stream ->
            val expiresAt = now + stream.remainingMilliseconds
            val origin = StreamOrigin(version.service, version.version, OriginSource.MEMBER, expiresAt)
            memory.origins.record(StreamKey(stream.key), origin)
        }
    }

    private fun versionOf(service: String, version: String) = ServiceVersion(service, SoftwareVersion(version))

    private companion object {
        const val MAX_STREAMS_PER_DIGEST = 500
    }
}
