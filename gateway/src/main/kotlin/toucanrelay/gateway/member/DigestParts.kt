package toucanrelay.gateway.member

import java.util.TreeMap

/**
 * The newest parts of a member's digests.
 *
 * A digest has one part or several, which arrive in any order. Until a part of a newer digest has arrived, or if it is
 * lost, that of an older one holds; of entries on the same matter the newest counts.
 */
internal class DigestParts {
    private class Received(
        val digest: MemberDigest,
        val atMilliseconds: Long,
    )

    private val received = TreeMap<Int, Received>()

    /** The newest part of all, which says how the member is itself; null before the first one. */
    var newest: MemberDigest? = null
        private set

    /** Returns whether [digest], a part of the same run, adds nothing to what is known. */
    fun isOutdated(digest: MemberDigest): Boolean {
        val latest = newest ?: return false
        val known = received[digest.part]?.digest
        if (known != null && digest.sequence <= known.sequence) return true
        return digest.sequence < latest.sequence && digest.part >= latest.parts
    }

    /** Records [digest], which arrived at [nowMilliseconds]; forgets the parts of another run and those it replaces. */
    fun record(digest: MemberDigest, nowMilliseconds: Long) {
        if (digest.incarnation != newest?.incarnation) clear()
        received[digest.part] = Received(digest, nowMilliseconds)
        val latest = newest
        if (latest == null || digest.sequence >= latest.sequence) newest = digest
        received.tailMap(checkNotNull(newest).parts).clear()
        received.values.removeIf { nowMilliseconds - it.atMilliseconds > MAX_PART_AGE_MILLISECONDS }
    }

    /** The load of the member at each target. */
    val loads: List<TargetLoadEntry>
        get() = entries({ it.loads }, { it.target })

    /** The usage of each organisation at the member. */
    val usage: List<UsageEntry>
        get() = entries({ it.usage }, { it.organisation to it.regions })

    /** The rates that the engines of each region serve to the member. */
    val servedByRegion: List<RegionServedEntry>
        get() = entries({ it.servedByRegion }, { it.region })

    /** The demand for each service at the member. */
    val demand: List<ServiceDemandEntry>
        get() = entries({ it.demand }, { it.service })

    private fun <T> entries(select: (MemberDigest) -> List<T>, keyOf: (T) -> Any): List<T> {
        val only = received.values.singleOrNull()
        if (only != null) return select(only.digest)
        return received.values
            .sortedByDescending { it.digest.sequence }
            .flatMap { select(it.digest) }
            .distinctBy(keyOf)
    }

    private fun clear() {
        received.clear()
        newest = null
    }

    private companion object {
        /** A part that is lost so often in a row that its state is outdated is forgotten. */
        const val MAX_PART_AGE_MILLISECONDS = 2_000L
    }
}
