package toucanrelay.gateway.stream

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.stream.StreamOrigin
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.platform.SavedStream
import toucanrelay.platform.SavedStreams
import toucanrelay.platform.SavedVersion
import toucanrelay.platform.StreamRecords

/**
 * Saves the origins of streams to the store, from which a process that starts restores them.
 *
 * One member of each region saves what all have told each other: the versions when they change, and while several may have
 * begun streams of a service, each second with those streams.
 *
 * @param storeEra returns the highest era of the store that this process knows of, which tells whether it was restored.
 * @param epochClock the time of day, by which a process can tell the age of what an earlier one saved.
 */
internal class StreamSaver(
    private val memory: StreamMemory,
    private val records: StreamRecords,
    private val fleet: FleetView,
    private val self: InstanceId,
    private val clock: Clock,
    private val epochClock: Clock,
    private val storeEra: () -> Long?,
    private val log: EventLog,
) {
    /** What was last saved of the versions, by whether targets of each were registered, and the store's era then. */
    private class SavedState(
        val areRegistered: Map<ServiceVersion, Boolean>,
        val era: Long?,
    )

    private var lastSaved = SavedState(emptyMap(), era = null)
    private var hasRestored = false
    private var hasFailed = false
    private var mayRepeatAtMilliseconds = Long.MIN_VALUE

    /** Restores what is saved, then saves periodically until the coroutine is cancelled. */
    suspend fun run() {
        while (!restore()) delay(RETRY_MILLISECONDS)
        while (true) {
            delay(CHECK_MILLISECONDS)
            save()
        }
    }

    /** Restores what is saved, unless it has been; returns whether it is restored now. */
    suspend fun restore(): Boolean {
        if (hasRestored) return true
        records
            .read()
            .onSuccess { saved ->
                val newest = saved.maxByOrNull { it.savedAtEpochMilliseconds }
                saved.forEach { apply(it, isNewest = it === newest) }
                memory.recordRestored()
                hasRestored = true
                log.write("streams-restored", "streams" to saved.sumOf { it.streams.size }, "rows" to saved.size)
            }.onFailure { log.write("streams-not-restored", "detail" to it.detail) }
        return hasRestored
    }

    /** Takes over [saved]; nobody has saved since the newest that a version has left which was registered then. */
    private fun apply(saved: SavedStreams, isNewest: Boolean) {
        val age = maxOf(0, epochClock.nowMilliseconds() - saved.savedAtEpochMilliseconds)
        saved.versions.forEach {
            val mayStillServe = isNewest && it.agoMilliseconds == 0L
            val ago = if (mayStillServe) 0 else it.agoMilliseconds + age
            memory.recordVersion(it.version, ago, it.ageMilliseconds + age)
        }
        saved.streams.asReversed().forEach { stream ->
            val expiresAt = clock.nowMilliseconds() + stream.remainingMilliseconds - age
            val origin = StreamOrigin(stream.version.service, stream.version.version, OriginSource.STORE, expiresAt)
            memory.origins.record(stream.key, origin)
        }
    }

    /** Saves what this process knows if it is the one of its region that saves. */
    suspend fun save() {
        val versions = memory.recentVersions()
        val services = memory.contestedVersions().keys.mapTo(HashSet()) { it.service }
        val areRegistered = versions.mapValues { (_, ago) -> ago == 0L }
        val isDue = services.isNotEmpty() && clock.nowMilliseconds() >= mayRepeatAtMilliseconds
        if (!isDue && !isChanged(areRegistered)) return
        if (fleet.readerRank() != 0) return
        val streams = memory.origins.newest(services, MAX_SAVED_STREAMS)
        val now = clock.nowMilliseconds()
        val era = storeEra()
        val saved =
            SavedStreams(
                epochClock.nowMilliseconds(),
                versions.map { (version, ago) -> SavedVersion(version, ago, memory.ageMilliseconds(version)) },
                streams.map { (key, origin) ->
                    SavedStream(key, origin.serviceVersion, origin.expiresAtMilliseconds - now)
                },
            )
        records
            .write(self, saved)
            .onSuccess { lastSaved = SavedState(areRegistered, era) }
            .onFailure { log.write("streams-not-saved", "detail" to it.detail) }
            .also { hasFailed = it.isErr }
        mayRepeatAtMilliseconds = clock.nowMilliseconds() + PERIOD_MILLISECONDS
    }

    /** Returns whether the store may not have the versions that are registered, unless a write failed just now. */
    private fun isChanged(areRegistered: Map<ServiceVersion, Boolean>): Boolean {
        val isSaved = areRegistered == lastSaved.areRegistered && storeEra() == lastSaved.era
        return !isSaved && (!hasFailed || clock.nowMilliseconds() >= mayRepeatAtMilliseconds)
    }

    private companion object {
        const val CHECK_MILLISECONDS = 200L
        const val PERIOD_MILLISECONDS = 1_000L
        const val RETRY_MILLISECONDS = 300L

        /** Keeps a row within the size that the store accepts. */
        const val MAX_SAVED_STREAMS = 3_000
    }
}
