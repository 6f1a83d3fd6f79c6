package toucanrelay.core.membership

import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.time.Clock

/**
 * Remembers for a while which entries could not be reached, so that others are tried in their place.
 *
 * When several entries of another region are suspected, the whole region is: the regions are then taken to be apart.
 *
 * Not safe for concurrent use.
 */
public class Suspicions(
    private val clock: Clock,
    private val own: EntryPlace,
    private val durationMilliseconds: Long = DEFAULT_DURATION_MILLISECONDS,
) {
    private data class Suspicion(
        val region: RegionId,
        val untilMilliseconds: Long,
    )

    private val suspicions = HashMap<InstanceId, Suspicion>()

    /** Suspects [entry] from now on. */
    public fun suspect(entry: EntryPlace) {
        suspicions[entry.instance] = Suspicion(entry.region, clock.nowMilliseconds() + durationMilliseconds)
    }

    /** Ends the suspicion of [entry], and of its region. */
    public fun clear(entry: EntryPlace) {
        suspicions.values.removeAll { it.region == entry.region && entry.region != own.region }
        suspicions.remove(entry.instance)
    }

    /** Those of [entries] that may be tried; this process is always among them. */
    public fun trusted(entries: Collection<EntryPlace>): List<EntryPlace> {
        val now = clock.nowMilliseconds()
        suspicions.values.removeAll { it.untilMilliseconds <= now }
        val regionsApart =
            suspicions.values
                .groupingBy { it.region }
                .eachCount()
                .filter { it.key != own.region && it.value >= ENTRIES_TO_SUSPECT_REGION }
                .keys
        return entries.filter { it == own || (it.instance !in suspicions && it.region !in regionsApart) }
    }

    public companion object {
        /** How long an entry stays suspected. */
        public const val DEFAULT_DURATION_MILLISECONDS: Long = 10_000

        private const val ENTRIES_TO_SUSPECT_REGION = 2
    }
}
