package toucanrelay.standins

import kotlinx.serialization.Serializable

/** One change of the cache as it is published. */
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
 * Bounded cache of prompt prefixes that publishes its changes late and with gaps.
 *
 * @param settings size, lag and gaps.
 */
internal class PrefixCache(
    private val settings: PrefixCacheSettings,
) {
    private data class Published(
        val event: CacheEvent,
        val visibleAtMilliseconds: Long,
    )

    private val held = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val log = ArrayDeque<Published>()
    private var sequence = 0L

    /** Looks [prefixHash] up and stores it when it is absent; returns whether it was there. */
    fun use(prefixHash: Long, nowMilliseconds: Long): Boolean {
        if (held[prefixHash] != null) return true
        held[prefixHash] = Unit
        publish("stored", prefixHash, nowMilliseconds)
        while (held.size > settings.entries) {
            val oldest = held.keys.first()
            held.remove(oldest)
            publish("removed", oldest, nowMilliseconds)
        }
        return false
    }

    /** The changes after [sequence] that are published by now. */
    fun eventsAfter(sequence: Long, nowMilliseconds: Long): CacheEvents {
        val visible = log.filter { it.visibleAtMilliseconds <= nowMilliseconds }.map { it.event }
        return CacheEvents(visible.filter { it.sequence > sequence }, visible.lastOrNull()?.sequence ?: 0)
    }

    /** Drops everything without an event, as a restart does. */
    fun clear() {
        held.clear()
        log.clear()
        sequence += settings.eventsKept
    }

    private fun publish(kind: String, prefixHash: Long, nowMilliseconds: Long) {
        sequence += 1
        if (settings.eventGapEvery > 0 && sequence % settings.eventGapEvery == 0L) return
        val event = CacheEvent(sequence, kind, "%016x".format(prefixHash))
        log += Published(event, nowMilliseconds + settings.eventLagMilliseconds)
        if (log.size > settings.eventsKept) log.removeFirst()
    }
}
