package toucanrelay.core.exchange

import com.github.michaelbull.result.getOrElse
import toucanrelay.core.fairness.FairnessSettings
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

/** Simulates the exchanges of several entries over streams that have random delays and that tests can break. */
class ExchangeFleet(
    private val random: Random,
    val locations: List<EntryLocation>,
    private val settings: FairnessSettings = FairnessSettings(),
    private val maxDelayMilliseconds: Long = 100,
    private val roundMilliseconds: Long = 250,
) {
    private class Stream(
        val child: Int,
        val parent: Int,
        val childEnd: ExchangeLinkId,
        val parentEnd: ExchangeLinkId,
    )

    private class Arrival(
        val stream: Stream,
        val isToParent: Boolean,
        val batch: ExchangeBatch,
        val atMilliseconds: Long,
    )

    val clock = ManualClock()
    val exchanges = MutableList(locations.size) { ServiceExchange(clock, FleetLedger(clock, settings)) }
    private val nextRoundMilliseconds = LongArray(locations.size) { random.nextLong(roundMilliseconds) }
    private val streams = mutableListOf<Stream>()
    private val arrivals = ArrayDeque<Arrival>()
    private var lastLink = 0L

    /** Connects each entry to its parent in the tree of those entries that it can reach. */
    fun connect(isReachable: (EntryLocation, EntryLocation) -> Boolean = { _, _ -> true }) {
        locations.indices.forEach { child ->
            val reachable = locations.filter { isReachable(locations[child], it) }
            val parent = ExchangeTree(reachable).parentOf(locations[child])
            val existing = streams.firstOrNull { it.child == child }
            if (existing != null && (parent == null || locations[existing.parent] != parent)) close(existing)
            if (parent != null && streams.none { it.child == child }) open(child, locations.indexOf(parent))
        }
    }

    /** Breaks the stream from [child] to its parent and drops the batches in transit. */
    fun breakStream(child: Int) {
        streams.firstOrNull { it.child == child }?.let { close(it) }
    }

    /** Restarts [entry] with an empty ledger. */
    fun restart(entry: Int) {
        streams.filter { it.child == entry || it.parent == entry }.forEach { close(it) }
        exchanges[entry] = ServiceExchange(clock, FleetLedger(clock, settings))
    }

    /** Advances the clock, delivers due batches and runs due rounds. */
    fun advance(milliseconds: Long) {
        clock.advance(milliseconds)
        deliver()
        locations.indices.filter { nextRoundMilliseconds[it] <= clock.nowMilliseconds() }.forEach { round(it) }
    }

    /** Runs rounds without new charges until all batches have arrived. */
    fun quiesce(rounds: Int = 60) = repeat(rounds) { advance(roundMilliseconds) }

    private fun open(child: Int, parent: Int) {
        val stream = Stream(child, parent, ExchangeLinkId(++lastLink), ExchangeLinkId(++lastLink))
        exchanges[child].open(stream.childEnd)
        exchanges[parent].open(stream.parentEnd)
        streams += stream
    }

    private fun close(stream: Stream) {
        exchanges[stream.child].close(stream.childEnd)
        exchanges[stream.parent].close(stream.parentEnd)
        streams -= stream
        arrivals.removeAll { it.stream == stream }
    }

    private fun round(entry: Int) {
        nextRoundMilliseconds[entry] = clock.nowMilliseconds() + roundMilliseconds
        exchanges[entry].advance()
        streams.filter { it.child == entry }.forEach { send(it, isToParent = true) }
        streams.filter { it.parent == entry }.forEach { send(it, isToParent = false) }
    }

    private fun send(stream: Stream, isToParent: Boolean) {
        val from = if (isToParent) exchanges[stream.child] else exchanges[stream.parent]
        val batch = from.nextBatch(if (isToParent) stream.childEnd else stream.parentEnd) ?: return
        val previous = arrivals.lastOrNull { it.stream == stream && it.isToParent == isToParent }?.atMilliseconds ?: 0
        val arrivesAtMilliseconds = clock.nowMilliseconds() + random.nextLong(maxDelayMilliseconds + 1)
        arrivals += Arrival(stream, isToParent, batch, maxOf(arrivesAtMilliseconds, previous))
    }

    private fun deliver() {
        val due = arrivals.filter { it.atMilliseconds <= clock.nowMilliseconds() }
        arrivals.removeAll(due.toSet())
        due.forEach { arrival ->
            val stream = arrival.stream
            val (to, link) =
                if (arrival.isToParent) {
                    exchanges[stream.parent] to stream.parentEnd
                } else {
                    exchanges[stream.child] to stream.childEnd
                }
            to.receive(link, arrival.batch).getOrElse { error("batch rejected: $it") }
        }
    }

    companion object {
        /** Creates entries that alternate between the failure domains, with two failure domains per region. */
        fun locations(count: Int, failureDomains: Int): List<EntryLocation> =
            List(count) {
                val failureDomain = it % failureDomains
                EntryLocation(
                    InstanceId("entry-$it"),
                    RegionId("region-${failureDomain / 2}"),
                    FailureDomainId("domain-$failureDomain"),
                )
            }
    }
}
