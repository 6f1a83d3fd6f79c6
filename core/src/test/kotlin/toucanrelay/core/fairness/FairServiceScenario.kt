package toucanrelay.core.fairness

import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.exchange.ExchangeFleet
import toucanrelay.core.identity.OrganisationId
import kotlin.random.Random

/** How an organisation of a scenario behaves. */
data class Load(
    val name: String,
    val share: Double = 1.0,
    val tokens: ClosedFloatingPointRange<Double> = 20.0..60.0,
    val hintFactor: Double = 1.0,
    val entries: List<Int>? = null,
    val waitingAtEach: Int = 3,
    val startsAtMilliseconds: Long = 0,
) {
    val organisation = OrganisationId(name)
}

/** Who gets a slot that came free. */
enum class Policy { LEAST_VIRTUAL_TIME, FIRST_COME_FIRST_SERVED }

/**
 * Entries that hold waiting requests and slots that serve them, with the fleet's ledger as the decision under test.
 *
 * Each slot asks for the organisation with the least virtual time as the entries stated it a while ago.
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

    private class Statement(
        val virtualTime: Map<OrganisationId, Double>,
        val atMilliseconds: Long,
    )

    val fleet = ExchangeFleet(random, ExchangeFleet.places(entries, failureDomains = 6), longestDelayMilliseconds = 50)
    private val waiting = List(entries) { mutableListOf<Request>() }
    private val running = arrayOfNulls<Request>(slots)
    private val statements = arrayOfNulls<Statement>(entries)
    private val served = HashMap<OrganisationId, Double>()
    private var arrivals = 0L
    private var isReachable: (EntryPlace, EntryPlace) -> Boolean = { _, _ -> true }

    /** Service of [load] so far, in tokens per unit of share. */
    fun service(load: Load): Double = (served[load.organisation] ?: 0.0) / load.share

    /** Lets entries and slots reach one another only where [isReachable]; slots lie beside the entries in turn. */
    fun partition(isReachable: (EntryPlace, EntryPlace) -> Boolean) {
        this.isReachable = isReachable
        fleet.connect(isReachable)
    }

    /** Replaces an entry by an empty one: its waiting and running requests are gone. */
    fun restart(entry: Int) {
        fleet.restart(entry)
        fleet.connect(isReachable)
        waiting[entry].clear()
        statements[entry] = null
        running.indices.filter { running[it]?.entry == entry }.forEach { running[it] = null }
    }

    /** Moves on by one step. */
    fun step() {
        fleet.advance(STEP_MILLISECONDS)
        loads.filter { it.startsAtMilliseconds <= fleet.clock.nowMilliseconds() }.forEach { arrive(it) }
        waiting.indices.forEach { state(it) }
        running.indices.forEach { serve(it) }
    }

    private fun arrive(load: Load) {
        (load.entries ?: waiting.indices).forEach { entry ->
            while (waiting[entry].count { it.load == load } < load.waitingAtEach) {
                val tokens = random.nextDouble(load.tokens.start, load.tokens.endInclusive)
                waiting[entry] += Request(load, entry, tokens, tokens * load.hintFactor, ++arrivals)
                fleet.exchanges[entry].activate(load.organisation)
            }
        }
    }

    // An entry states its demand every while, so that slots decide by what was true then.
    private fun state(entry: Int) {
        val now = fleet.clock.nowMilliseconds()
        if (statements[entry].let { it != null && now - it.atMilliseconds < STATEMENT_MILLISECONDS }) return
        val organisations = waiting[entry].map { it.load.organisation }.distinct()
        val exchange = fleet.exchanges[entry]
        statements[entry] = Statement(organisations.associateWith { exchange.virtualTime(it) }, now)
    }

    private fun serve(slot: Int) {
        val request = running[slot] ?: choose(slot)?.also { start(slot, it) } ?: return
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

    private fun choose(slot: Int): Request? {
        val near = fleet.places[slot % fleet.places.size]
        val reachable = waiting.indices.filter { isReachable(near, fleet.places[it]) && statements[it] != null }
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

    // What an organisation received is at least what any entry knows of it.
    private fun leastServed(entries: List<Int>): OrganisationId? {
        val highest = HashMap<OrganisationId, Double>()
        entries.forEach { entry ->
            statements[entry]?.virtualTime?.forEach { (organisation, time) ->
                highest.merge(organisation, time, ::maxOf)
            }
        }
        val waitingNow = entries.flatMap { waiting[it] }.mapTo(HashSet()) { it.load.organisation }
        return highest.filterKeys { it in waitingNow }.minByOrNull { it.value }?.key
    }

    companion object {
        const val SLOTS = 8
        const val STEP_MILLISECONDS = 50L
        const val STATEMENT_MILLISECONDS = 200L
        const val TOKENS_PER_STEP = 1.5

        /** What all slots together serve in a second. */
        const val TOKENS_PER_SECOND = SLOTS * TOKENS_PER_STEP * 1_000 / STEP_MILLISECONDS
    }
}
