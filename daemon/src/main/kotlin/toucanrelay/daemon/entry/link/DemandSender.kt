package toucanrelay.daemon.entry.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import toucanrelay.core.queue.DemandPacer
import toucanrelay.core.queue.DemandStatement
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTerms
import toucanrelay.wire.Demand
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.OrganisationDemand
import toucanrelay.wire.PoolDemand

/** Builds the demand to state on a link. */
internal fun interface DemandSource {
    fun demandFor(link: AgentLink): DemandStatement
}

/** States demand on one link, coalesced and only when it changed. */
internal class DemandSender(
    private val terms: EntryTerms,
    private val clock: Clock,
    private val meters: EntryMeters,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val pacer = DemandPacer(terms.demandRefreshMilliseconds)
    private var sequence = 0L

    fun changed() {
        signal.trySend(Unit)
    }

    fun granted() {
        synchronized(pacer) { pacer.granted() }
        changed()
    }

    fun reset() {
        synchronized(pacer) { pacer.reset() }
        changed()
    }

    /** Waits for a change and states the demand if it is due. */
    suspend fun sendNext(session: AgentSession, source: DemandSource, link: AgentLink) {
        signal.receive()
        if (session.isClosed) return changed()
        val statement = source.demandFor(link)
        val waitMilliseconds = synchronized(pacer) { pacer.dueInMilliseconds(statement, clock.nowMilliseconds()) }
        if (waitMilliseconds == 0L && session.send(message(statement))) {
            synchronized(pacer) { pacer.stated(statement, clock.nowMilliseconds()) }
            meters.demandSent.increment()
        }
        delay(terms.demandIntervalMilliseconds)
        if (waitMilliseconds != null && waitMilliseconds > 0) changed()
    }

    private fun message(statement: DemandStatement): EntryMessage {
        sequence += 1
        val now = clock.nowMilliseconds()
        val demand = Demand.newBuilder().setSequence(sequence)
        statement.pools.forEach { (pool, organisations) ->
            val ofPool = PoolDemand.newBuilder().setPool(pool.name)
            organisations.forEach { ofPool.addOrganisations(it.toWire(now)) }
            demand.addPools(ofPool)
        }
        val message = EntryMessage.newBuilder().setDemand(demand).build()
        meters.demandBytes.increment(message.serializedSize.toDouble())
        return message
    }

    private fun toucanrelay.core.queue.OrganisationDemand.toWire(now: Long): OrganisationDemand =
        OrganisationDemand
            .newBuilder()
            .setOrganisation(organisation.value)
            .setWaiting(waiting)
            .setVirtualTime(rank)
            .setHeadCost(headCost)
            .setShare(share)
            .setHeadWaitingMilliseconds(now - headArrivedAtMilliseconds)
            .build()
}
