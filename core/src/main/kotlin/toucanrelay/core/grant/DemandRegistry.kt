package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.time.Clock

/** Identifies the demand that a grant is counted against: one organisation's requests for one pool at one entry. */
internal data class DemandKey(
    val link: LinkId,
    val pool: Pool,
    val organisation: OrganisationId,
)

/** Demand reported by the linked entries, less the grants that their reports do not include yet. */
internal class DemandRegistry(
    private val clock: Clock,
) {
    private val records = LinkedHashMap<DemandKey, DemandRecord>()

    /** Replaces the demand of [link]. */
    fun update(link: LinkId, demand: List<OrganisationDemand>) {
        val now = clock.nowMilliseconds()
        val reports = demand.associateBy { DemandKey(link, it.pool, it.organisation) }
        records.entries.removeAll { (key, record) ->
            key.link == link && key !in reports && record.outstanding == 0
        }
        records.filterKeys { it.link == link && it !in reports }.values.forEach { it.clear(now) }
        reports.forEach { (key, report) ->
            records.getOrPut(key) { DemandRecord(report, now) }.update(report, now)
        }
    }

    /** Removes the demand of [link]. */
    fun remove(link: LinkId) {
        records.keys.removeAll { it.link == link }
    }

    fun hasDemand(pools: Set<Pool>): Boolean =
        records.any { (key, record) -> key.pool in pools && record.available > 0 }

    /** Returns the candidates for the next slot by the demand that a grant would be counted against. */
    fun candidates(pools: Set<Pool>): Map<DemandKey, Candidate> {
        val now = clock.nowMilliseconds()
        val virtualTimes = virtualTimes()
        return records
            .filter { (key, record) -> key.pool in pools && record.available > 0 }
            .mapValues { (key, record) ->
                val waited = record.report.headWaitingMilliseconds + (now - record.reportedAtMilliseconds)
                Candidate(key.link, key.organisation, virtualTimes.getValue(key.organisation), waited)
            }
    }

    fun recordGranted(key: DemandKey) {
        records[key]?.let { it.outstanding += 1 }
    }

    /** Records that a grant was returned unused. */
    fun recordReturned(key: DemandKey) {
        records[key]?.let { it.outstanding -= 1 }
    }

    /** Records that the entry declined a grant for lack of requests, which shows that its report is out of date. */
    fun recordDeclined(key: DemandKey) {
        recordReturned(key)
        records[key]?.let { it.declined += 1 }
    }

    /** Records that a granted request arrived; the entry's next report includes it. */
    fun recordServed(key: DemandKey) {
        records[key]?.let {
            it.outstanding -= 1
            it.served += 1
        }
    }

    /** Returns each organisation's greatest, hence latest, reported virtual time plus the cost of later grants. */
    private fun virtualTimes(): Map<OrganisationId, Double> {
        val greatest = HashMap<OrganisationId, Double>()
        val unreported = HashMap<OrganisationId, Double>()
        records.forEach { (key, record) ->
            greatest.merge(key.organisation, record.report.virtualTime, ::maxOf)
            unreported.merge(key.organisation, record.unreported, Double::plus)
        }
        return greatest.mapValues { (organisation, reported) -> reported + unreported.getValue(organisation) }
    }

    private class DemandRecord(
        var report: OrganisationDemand,
        var reportedAtMilliseconds: Long,
    ) {
        var outstanding = 0
        var served = 0
        var declined = 0

        val available: Int
            get() = report.waiting - outstanding - served - declined

        val unreported: Double
            get() = if (outstanding + served == 0) 0.0 else (outstanding + served) * report.virtualCost

        fun update(report: OrganisationDemand, now: Long) {
            this.report = report
            reportedAtMilliseconds = now
            served = 0
            declined = 0
        }

        fun clear(now: Long) = update(report.copy(waiting = 0), now)
    }
}
