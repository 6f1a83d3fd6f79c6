package toucanrelay.gateway.stream

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.StreamOrigin
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.platform.SavedStream
import toucanrelay.platform.SavedStreams
import toucanrelay.platform.SavedVersion
import toucanrelay.platform.StreamTable

/**
 * Saves the origins of streams to the store, from which a process that starts restores them.
 *
 * One member of each region saves what all have told each other, and only while several versions may have begun streams.
 *
 * @param epochClock the time of day, by which a process can tell the age of what an earlier one saved.
 */
internal class StreamSaver(
    private val memory: StreamMemory,
    private val table: StreamTable,
    private val fleet: FleetView,
    private val self: InstanceId,
    private val clock: Clock,
    private val epochClock: Clock,
    private val log: EventLog,
) {
    private var hasSavedStreams = false

    /** Restores what is saved, then saves periodically until the coroutine is cancelled. */
    suspend fun run() {
        while (!restore()) delay(RETRY_MILLISECONDS)
        while (true) {
            delay(PERIOD_MILLISECONDS)
            save()
        }
    }

    private suspend fun restore(): Boolean {
        if (hasRestored) return true
        table
            .read()
            .onSuccess { saved ->
                saved.forEach { apply(it) }
                memory.recordRestored()
                hasRestored = true
                log.write("streams-restored", "streams" to saved.sumOf { it.streams.size }, "rows" to saved.size)
            }.onFailure { log.write("streams-not-restored", "detail" to it.detail) }
        return hasRestored
    }

    private var hasRestored = false

    private fun apply(saved: SavedStreams) {
        val age = maxOf(0, epochClock.nowMilliseconds() - saved.savedAtEpochMilliseconds)
        saved.versions.forEach { memory.recordVersion(it.version, it.agoMilliseconds + age) }
        saved.streams.asReversed().forEach { stream ->
            val expiresAt = clock.nowMilliseconds() + stream.remainingMilliseconds - age
            val origin = StreamOrigin(stream.version.service, stream.version.version, OriginSource.STORE, expiresAt)
            memory.origins.record(stream.key, origin)
        }
    }

    private suspend fun save() {
        val contested = memory.contestedVersions()
        val isNeeded = contested.isNotEmpty() || hasSavedStreams
        if (!isNeeded || fleet.readerRank() != 0) return
        val streams = memory.origins.newest(contested.keys.mapTo(HashSet()) { it.service }, MAX_SAVED_STREAMS)
        val now = clock.nowMilliseconds()
        val saved =
            SavedStreams(
                epochClock.nowMilliseconds(),
                contested.map { (version, ago) -> SavedVersion(version, ago) },
                streams.map { (key, origin) ->
                    SavedStream(key, origin.serviceVersion, origin.expiresAtMilliseconds - now)
                },
            )
        table
            .write(self, saved)
            .onSuccess { hasSavedStreams = contested.isNotEmpty() }
            .onFailure { log.write("streams-not-saved", "detail" to it.detail) }
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 1_000L
        const val RETRY_MILLISECONDS = 300L

        /** Keeps a row within the size that the store accepts. */
        const val MAX_SAVED_STREAMS = 3_000
    }
}
