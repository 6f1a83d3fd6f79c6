package toucanrelay.core.fairness

import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.exchange.ExchangeFleet
import toucanrelay.core.identity.OrganisationId
import kotlin.random.Random

/** Load that one organisation of a scenario generates. */
data class Load(
    val name: String,
    val share: Double = 1.0,
    val tokens: ClosedFloatingPointRange<Double> = 20.0..60.0,
    val hintFactor: Double = 1.0,
    val entries: List<Int>? = null,
    val waitingPerEntry: Int = 3,
    val startsAtMilliseconds: Long = 0,
) {
    val organisation = OrganisationId(name)
}

/** How a freed slot selects the next request. */
enum class Policy { LEAST_VIRTUAL_TIME, FIRST_COME_FIRST_SERVED }

/**
 * Simulates entries with waiting requests and slots that serve them by the virtual times of the fleet ledger.
 *
 * Each freed slot serves the organisation with the least virtual time according to the entries' latest reports, which
 * are up to [REPORT_INTERVAL_MILLISECONDS] old.
 */
class FairServiceScenario(
    private val random: Random,
    private val loads: List<Load>,
    private val policy: Policy = Policy.LEAST_VIRTUAL_TIME,
    entries: Int = 6,
    private val slots: Int = SLOTS,
) {
    private class Request(
        val load: Load,
        val entry: Int,
        val tokens: Double,
        val hint: Double,
        val arrival: Long,
    ) {
        var served = 0.0
        var charged = 0.0
    }

    private class DemandReport(
        val virtualTime: Map<OrganisationId, Double>,
        val atMilliseconds: Long,
    )

    val fleet = ExchangeFleet(random, ExchangeFleet.locations(entries, failureDomains = 6), maxDelayMilliseconds = 50)
    private val waiting = List(entries) { mutableListOf<Request>() }
    private val running = arrayOfNulls<Request>(slots)
    private val reports = arrayOfNulls<DemandReport>(entries)
    private val served = HashMap<OrganisationId, Double>()
    private var arrivals = 0L
    private var isReachable: (EntryLocation, EntryLocation) -> Boolean = { _, _ -> true }

    /** Returns the service that [load] has received so far, in tokens per unit of share. */
    fun service(load: Load): Double = (served[load.organisation] ?: 0.0) / load.share

    /** Connects entries and slots only where [isReachable]; each slot is located at an entry, assigned round-robin. */
    fun partition(isReachable: (EntryLocation, EntryLocation) -> Boolean) {
        this.isReachable = isReachable
        fleet.connect(isReachable)
    }

    /** Restarts an entry with empty state: its waiting and running requests are lost. */
    fun restart(entry: Int) {
        fleet.restart(entry)
        fleet.connect(isReachable)
        waiting[entry].clear()
        reports[entry] = null
        running.indices.filter { running[it]?.entry == entry }.forEach { running[it] = null }
    }

    /** Advances the simulation by one step. */
    fun step() {
        fleet.advance(STEP_MILLISECONDS)
        loads.filter { it.startsAtMilliseconds <= fleet.clock.nowMilliseconds() }.forEach { addRequests(it) }
        waiting.indices.forEach { reportDemand(it) }
        running.indices.forEach { serve(it) }
    }

    private fun addRequests(load: Load) {
        (load.entries ?: waiting.indices).forEach { entry ->
            while (waiting[entry].count { it.load == load } < load.waitingPerEntry) {
                val tokens = random.nextDouble(load.tokens.start, load.tokens.endInclusive)
                waiting[entry] += Request(load, entry, tokens, tokens * load.hintFactor, ++arrivals)
                fleet.exchanges[entry].activate(load.organisation)
            }
        }
    }

    // Entries report demand at intervals only, so that slots decide by outdated reports.
    private fun reportDemand(entry: Int) {
        val now = fleet.clock.nowMilliseconds()
        if (reports[entry].let { it != null && now - it.atMilliseconds < REPORT_INTERVAL_MILLISECONDS }) return
        val organisations = waiting[entry].map { it.load.organisation }.distinct()
        val exchange = fleet.exchanges[entry]
        reports[entry] = DemandReport(organisations.associateWith { exchange.virtualTime(it) }, now)
    }

    private fun serve(slot: Int) {
        val request = running[slot] ?: selectRequest(slot)?.also { start(slot, it) } ?: return
        val tokens = minOf(TOKENS_PER_STEP, request.tokens - request.served)
        request.served += tokens
        served.merge(request.load.organisation, tokens, Double::plus)
        if (request.served > request.charged) charge(request, request.served - request.charged)
        if (request.served >= request.tokens) {
            charge(request, request.served - request.charged)
            running[slot] = null
        }
    }

    private fun start(slot: Int, request: Request) {
        waiting[request.entry] -= request
        running[slot] = request
        charge(request, request.hint)
        if (waiting[request.entry].none { it.load == request.load }) {
            fleet.exchanges[request.entry].deactivate(request.load.organisation)
        }
    }

    private fun charge(request: Request, tokens: Double) {
        request.charged += tokens
        fleet.exchanges[request.entry].charge(request.load.organisation, tokens / request.load.share)
    }

    private fun selectRequest(slot: Int): Request? {
        val location = fleet.locations[slot % fleet.locations.size]
        val reachable = waiting.indices.filter { isReachable(location, fleet.locations[it]) && reports[it] != null }
        val candidates = reachable.flatMap { waiting[it] }
        return when (policy) {
            Policy.FIRST_COME_FIRST_SERVED -> {
                candidates.minByOrNull { it.arrival }
            }

            Policy.LEAST_VIRTUAL_TIME -> {
                val organisation = leastServed(reachable)
                candidates.filter { it.load.organisation == organisation }.minByOrNull { it.arrival }
            }
        }
    }

    // An organisation has received at least the greatest service that any entry reports.
    private fun leastServed(entries: List<Int>): OrganisationId? {
        val highest = HashMap<OrganisationId, Double>()
        entries.forEach { entry ->
            reports[entry]?.virtualTime?.forEach { (organisation, time) ->
                highest.merge(organisation, time, ::maxOf)
            }
        }
        val waitingNow = entries.flatMap { waiting[it] }.mapTo(HashSet()) { it.load.organisation }
        return highest.filterKeys { it in waitingNow }.minByOrNull { it.value }?.key
    }

    companion object {
        const val SLOTS = 8
        const val STEP_MILLISECONDS = 50L
        const val REPORT_INTERVAL_MILLISECONDS = 200L
        const val TOKENS_PER_STEP = 1.5

        /** Total service rate of all slots. */
        const val TOKENS_PER_SECOND = SLOTS * TOKENS_PER_STEP * 1_000 / STEP_MILLISECONDS
    }
}
