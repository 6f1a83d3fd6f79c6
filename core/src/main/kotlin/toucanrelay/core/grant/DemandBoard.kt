package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.time.Clock

/** Names what a grant draws on: one organisation's requests for one pool at one entry. */
internal data class DemandKey(
    val link: LinkId,
    val pool: Pool,
    val organisation: OrganisationId,
)

/** Demand that the linked entries have stated, less the grants that their reports do not cover yet. */
internal class DemandBoard(
    private val clock: Clock,
) {
    private val rows = LinkedHashMap<DemandKey, Row>()

    /** Replaces the demand of [link]. */
    fun state(link: LinkId, demand: List<OrganisationDemand>) {
        val now = clock.nowMilliseconds()
        val stated = demand.associateBy { DemandKey(link, it.pool, it.organisation) }
        rows.entries.removeAll { (key, row) -> key.link == link && key !in stated && row.outstanding == 0 }
        rows.filterKeys { it.link == link && it !in stated }.values.forEach { it.clear(now) }
        stated.forEach { (key, report) -> rows.getOrPut(key) { Row(report, now) }.renew(report, now) }
    }

    /** Drops the demand of [link]. */
    fun forget(link: LinkId) {
        rows.keys.removeAll { it.link == link }
    }

    fun hasDemand(pools: Set<Pool>): Boolean = rows.any { (key, row) -> key.pool in pools && row.available > 0 }

    /** The candidates for the next slot, for each what a grant to it would draw on. */
    fun candidates(pools: Set<Pool>): Map<DemandKey, Candidate> {
        val now = clock.nowMilliseconds()
        val virtualTimes = virtualTimes()
        return rows
            .filter { (key, row) -> key.pool in pools && row.available > 0 }
            .mapValues { (key, row) ->
                val waited = row.report.headWaitingMilliseconds + (now - row.reportedAt)
                Candidate(key.link, key.organisation, virtualTimes.getValue(key.organisation), waited)
            }
    }

    fun granted(key: DemandKey) {
        rows[key]?.let { it.outstanding += 1 }
    }

    /** Notes that a grant came back unused. */
    fun returned(key: DemandKey) {
        rows[key]?.let { it.outstanding -= 1 }
    }

    /** Notes that the entry said it has nothing for a grant: its report is out of date. */
    fun declined(key: DemandKey) {
        returned(key)
        rows[key]?.let { it.declined += 1 }
    }

    /** Notes that a granted request arrived; the entry's next report covers it. */
    fun served(key: DemandKey) {
        rows[key]?.let {
            it.outstanding -= 1
            it.served += 1
        }
    }

    /** The greatest report of each organisation, which is the latest, and what was granted since. */
    private fun virtualTimes(): Map<OrganisationId, Double> {
        val greatest = HashMap<OrganisationId, Double>()
        val uncovered = HashMap<OrganisationId, Double>()
        rows.forEach { (key, row) ->
            greatest.merge(key.organisation, row.report.virtualTime, ::maxOf)
            uncovered.merge(key.organisation, row.uncovered, Double::plus)
        }
        return greatest.mapValues { (organisation, reported) -> reported + uncovered.getValue(organisation) }
    }

    private class Row(
        var report: OrganisationDemand,
        var reportedAt: Long,
    ) {
        var outstanding = 0
        var served = 0
        var declined = 0

        val available: Int
            get() = report.waiting - outstanding - served - declined

        val uncovered: Double
            get() = if (outstanding + served == 0) 0.0 else (outstanding + served) * report.virtualCost

        fun renew(report: OrganisationDemand, now: Long) {
            this.report = report
            reportedAt = now
            served = 0
            declined = 0
        }

        fun clear(now: Long) = renew(report.copy(waiting = 0), now)
    }
}
