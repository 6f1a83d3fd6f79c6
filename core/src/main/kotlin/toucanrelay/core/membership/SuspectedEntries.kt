package toucanrelay.core.membership

import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.time.Clock

/**
 * Tracks entries that could not be reached recently, so that other entries are tried instead.
 *
 * When several entries of another region are suspected at the same time, the whole region is suspected, as a network
 * partition between the regions is likely.
 *
 * Not thread-safe.
 */
public class SuspectedEntries(
    private val clock: Clock,
    private val own: EntryLocation,
    private val durationMilliseconds: Long = DEFAULT_DURATION_MILLISECONDS,
) {
    private data class Suspicion(
        val region: RegionId,
        val untilMilliseconds: Long,
    )

    private val suspicions = HashMap<InstanceId, Suspicion>()

    /** Suspects [entry] for [durationMilliseconds] from now. */
    public fun suspect(entry: EntryLocation) {
        suspicions[entry.instance] = Suspicion(entry.region, clock.nowMilliseconds() + durationMilliseconds)
    }

    /** Clears the suspicion of [entry] and, if it is in another region, of all entries of that region. */
    public fun clear(entry: EntryLocation) {
        suspicions.values.removeAll { it.region == entry.region && entry.region != own.region }
        suspicions.remove(entry.instance)
    }

    /** Returns the [entries] that are not suspected; this process itself is never filtered out. */
    public fun withoutSuspected(entries: Collection<EntryLocation>): List<EntryLocation> {
        val now = clock.nowMilliseconds()
        suspicions.values.removeAll { it.untilMilliseconds <= now }
        val unreachableRegions =
            suspicions.values
                .groupingBy { it.region }
                .eachCount()
                .filter { it.key != own.region && it.value >= MIN_SUSPECTED_ENTRIES_PER_REGION }
                .keys
        return entries.filter { it == own || (it.instance !in suspicions && it.region !in unreachableRegions) }
    }

    public companion object {
        /** Time for which an entry stays suspected. */
        public const val DEFAULT_DURATION_MILLISECONDS: Long = 10_000

        private const val MIN_SUSPECTED_ENTRIES_PER_REGION = 2
    }
}
