package toucanrelay.core.exchange

import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** Increments to be sent on one link, summed by organisation, in the order of their first increment. */
internal class PendingIncrements {
    private data class Pending(
        val account: ServiceAccount,
        val sinceMilliseconds: Long,
    )

    private val pending = LinkedHashMap<OrganisationId, Pending>()

    /** Number of organisations with a pending increment. */
    val size: Int
        get() = pending.size

    /** Adds [increment], whose oldest charge was made at [sinceMilliseconds]. */
    fun add(organisation: OrganisationId, increment: ServiceAccount, sinceMilliseconds: Long) {
        val existing = pending[organisation]
        pending[organisation] =
            if (existing == null) {
                Pending(increment, sinceMilliseconds)
            } else {
                Pending(existing.account + increment, minOf(existing.sinceMilliseconds, sinceMilliseconds))
            }
    }

    /** Returns the organisations for which [isUrgent] holds, and the [maxOthers] longest pending of the others. */
    fun choose(isUrgent: (OrganisationId) -> Boolean, maxOthers: Int): List<OrganisationId> {
        val (urgent, others) = pending.keys.partition(isUrgent)
        return urgent + others.take(maxOthers)
    }

    /** Removes and returns the increment of [organisation]; null when none is pending. */
    fun remove(organisation: OrganisationId): Increment? =
        pending.remove(organisation)?.let { Increment(AccountEntry(organisation, it.account), it.sinceMilliseconds) }

    /** An increment and the time of its oldest charge. */
    data class Increment(
        val entry: AccountEntry,
        val sinceMilliseconds: Long,
    )
}
