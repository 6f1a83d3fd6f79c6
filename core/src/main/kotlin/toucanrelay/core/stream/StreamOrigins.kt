package toucanrelay.core.stream

import toucanrelay.core.time.Clock

/**
 * Remembers which software version began each stream, until no caller can resume the stream any more.
 *
 * @param maxStreams number of streams beyond which the ones that were recorded first are forgotten.
 */
public class StreamOrigins(
    private val clock: Clock,
    private val maxStreams: Int = MAX_STREAMS,
) {
    private class Entry(
        val origin: StreamOrigin,
        val recordedAtMilliseconds: Long,
    )

    private val entries = LinkedHashMap<StreamKey, Entry>()

    /** Number of streams that are remembered. */
    public val size: Int
        get() = entries.size

    /** Records [origin] as that of [stream], unless one is known: it never changes. */
    public fun record(stream: StreamKey, origin: StreamOrigin) {
        if (find(stream) != null) return
        entries[stream] = Entry(origin, clock.nowMilliseconds())
        if (entries.size > maxStreams) entries.remove(entries.keys.first())
    }

    /** Returns the origin of [stream], or null if it is not known or the stream cannot be resumed any more. */
    public fun find(stream: StreamKey): StreamOrigin? = entries[stream]?.origin?.takeIf { !isExpired(it) }

    /** Returns how long the origin of [stream] has been known, or null if it is not known. */
    public fun ageMilliseconds(stream: StreamKey): Long? =
        entries[stream]?.let { clock.nowMilliseconds() - it.recordedAtMilliseconds }

    /** Returns the origins of the streams of [services] that can still be resumed, the newest first, at most [limit]. */
    public fun newest(services: Set<String>, limit: Int): List<Pair<StreamKey, StreamOrigin>> =
        select(limit) { it.origin.service in services }

    /**
     * Returns the origins that this instance knows of its own and that are to be shared, the newest first, at most [limit].
     *
     * These are the ones that were recorded a short time ago.
     *
     * @param repeatedSinceMilliseconds returns when the older ones of a service, too, began to be shared once more; null if
     *   they are not.
     */
    public fun toShare(
        limit: Int,
        repeatedSinceMilliseconds: (service: String) -> Long?,
    ): List<Pair<StreamKey, StreamOrigin>> {
        val oldest = clock.nowMilliseconds() - SHARED_MILLISECONDS
        return select(limit) { entry ->
            val since = repeatedSinceMilliseconds(entry.origin.service) ?: entry.recordedAtMilliseconds
            entry.origin.source == OriginSource.OWN && maxOf(since, entry.recordedAtMilliseconds) >= oldest
        }
    }

    /** Forgets the streams that cannot be resumed any more. */
    public fun cleanUp() {
        entries.values.removeIf { isExpired(it.origin) }
    }

    private fun select(limit: Int, predicate: (Entry) -> Boolean): List<Pair<StreamKey, StreamOrigin>> =
        entries.entries
            .filter { (_, entry) -> !isExpired(entry.origin) && predicate(entry) }
            .takeLast(limit)
            .asReversed()
            .map { (stream, entry) -> stream to entry.origin }

    private fun isExpired(origin: StreamOrigin) = origin.expiresAtMilliseconds < clock.nowMilliseconds()

    private companion object {
        const val MAX_STREAMS = 50_000

        /** Several times the period in which instances share their state, since some of it is lost. */
        const val SHARED_MILLISECONDS = 1_500L
    }
}
