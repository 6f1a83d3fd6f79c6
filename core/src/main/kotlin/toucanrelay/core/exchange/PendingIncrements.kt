package toucanrelay.core.exchange

import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** Increments that wait to be sent on one link, summed by organisation, the longest waiting first. */
internal class PendingIncrements {
    private data class Pending(
        val account: ServiceAccount,
        val sinceMilliseconds: Long,
    )

    private val pending = LinkedHashMap<OrganisationId, Pending>()

    /** How many organisations have an increment waiting. */
    val size: Int
        get() = pending.size

    /** Adds [increment], whose oldest charge was made at [sinceMilliseconds]. */
    fun add(organisation: OrganisationId, increment: ServiceAccount, sinceMilliseconds: Long) {
        val earlier = pending[organisation]
        pending[organisation] =
            if (earlier == null) {
                Pending(increment, sinceMilliseconds)
            } else {
                Pending(earlier.account + increment, minOf(earlier.sinceMilliseconds, sinceMilliseconds))
            }
    }

    /** The organisations that [isUrgent] and the [others] longest waiting ones besides. */
    fun choose(isUrgent: (OrganisationId) -> Boolean, others: Int): List<OrganisationId> {
        val (urgent, rest) = pending.keys.partition(isUrgent)
        return urgent + rest.take(others)
    }

    /** Removes and returns the increment of [organisation]; null when none waits. */
    fun take(organisation: OrganisationId): Taken? =
        pending.remove(organisation)?.let { Taken(AccountEntry(organisation, it.account), it.sinceMilliseconds) }

    /** An increment and the time of its oldest charge. */
    data class Taken(
        val entry: AccountEntry,
        val sinceMilliseconds: Long,
    )
}
