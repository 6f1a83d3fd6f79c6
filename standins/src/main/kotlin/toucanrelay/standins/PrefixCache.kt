package toucanrelay.standins

import kotlinx.serialization.Serializable

/** A published change of the cache. */
@Serializable
internal data class CacheEvent(
    val sequence: Long,
    val kind: String,
    val prefixHash: String,
)

/** Answer to `GET /cache-events`. */
@Serializable
internal data class CacheEvents(
    val events: List<CacheEvent>,
    val latestSequence: Long,
)

/**
 * Bounded LRU cache of prompt prefixes whose changes are published late and with gaps.
 *
 * @param settings capacity, publication lag and gaps.
 */
internal class PrefixCache(
    private val settings: PrefixCacheSettings,
) {
    private data class LoggedEvent(
        val event: CacheEvent,
        val visibleAtMilliseconds: Long,
    )

    private val prefixes = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val log = ArrayDeque<LoggedEvent>()
    private var sequence = 0L

    /** Looks up [prefixHash] and inserts it if absent; returns whether it was present. */
    fun lookUpOrInsert(prefixHash: Long, nowMilliseconds: Long): Boolean {
        if (prefixes[prefixHash] != null) return true
        prefixes[prefixHash] = Unit
        publish("stored", prefixHash, nowMilliseconds)
        while (prefixes.size > settings.entries) {
            val oldest = prefixes.keys.first()
            prefixes.remove(oldest)
            publish("removed", oldest, nowMilliseconds)
        }
        return false
    }

    /** Returns the changes after [sequence] that are published by [nowMilliseconds]. */
    fun eventsAfter(sequence: Long, nowMilliseconds: Long): CacheEvents {
        val visible = log.filter { it.visibleAtMilliseconds <= nowMilliseconds }.map { it.event }
        return CacheEvents(visible.filter { it.sequence > sequence }, visible.lastOrNull()?.sequence ?: 0)
    }

    /** Clears the cache and its events without publishing, as a restart does; leaves a gap in the sequence numbers. */
    fun clear() {
        prefixes.clear()
        log.clear()
        sequence += settings.eventsKept
    }

    private fun publish(kind: String, prefixHash: Long, nowMilliseconds: Long) {
        sequence += 1
        if (settings.eventGapEvery > 0 && sequence % settings.eventGapEvery == 0L) return
        val event = CacheEvent(sequence, kind, "%016x".format(prefixHash))
        log += LoggedEvent(event, nowMilliseconds + settings.eventLagMilliseconds)
        if (log.size > settings.eventsKept) log.removeFirst()
    }
}
