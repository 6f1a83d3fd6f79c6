package toucanrelay.daemon.entry.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.queue.DemandDue
import toucanrelay.core.queue.DemandPacer
import toucanrelay.core.queue.DemandReport
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTerms
import toucanrelay.wire.Demand
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.OrganisationDemand
import toucanrelay.wire.PoolDemand

/** Builds the demand to state on a link. */
internal fun interface DemandSource {
    fun demandFor(link: AgentLink): DemandReport
}

/**
 * States demand on one link, coalesced and only when it changed.
 *
 * @param budget bytes that all links of the entry may spend on statements that only refresh; the others use it up, too.
 */
internal class DemandSender(
    private val terms: EntryTerms,
    private val budget: TokenBucket,
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
        synchronized(pacer) { pacer.recordGrant() }
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
        when (val due = synchronized(pacer) { pacer.due(statement, clock.nowMilliseconds()) }) {
            DemandDue.Never -> Unit
            DemandDue.AtOnce -> send(session, statement, mayWait = false)
            is DemandDue.Refresh -> if (due.milliseconds > 0 || !send(session, statement, mayWait = true)) changed()
        }
        delay(terms.demandIntervalMilliseconds)
    }

    /** Sends [statement]; false when it may wait and the budget does not allow it yet. */
    private fun send(session: AgentSession, statement: DemandReport, mayWait: Boolean): Boolean {
        val message = message(statement)
        val bytes = message.serializedSize.toDouble()
        if (!takeFromBudget(bytes, mayWait)) return false
        if (session.send(message)) {
            synchronized(pacer) { pacer.recordSent(statement, clock.nowMilliseconds()) }
            meters.demandSent.increment()
            meters.demandBytes.increment(bytes)
        }
        return true
    }

    private fun takeFromBudget(bytes: Double, mayWait: Boolean): Boolean =
        synchronized(budget) {
            if (!mayWait) budget.take(bytes)
            !mayWait || budget.tryTake(bytes)
        }

    private fun message(statement: DemandReport): EntryMessage {
        sequence += 1
        val now = clock.nowMilliseconds()
        val demand = Demand.newBuilder().setSequence(sequence)
        statement.pools.forEach { (pool, organisations) ->
            val ofPool = PoolDemand.newBuilder().setPool(pool.name)
            organisations.forEach { ofPool.addOrganisations(it.toWire(now)) }
            demand.addPools(ofPool)
        }
        return EntryMessage.newBuilder().setDemand(demand).build()
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
