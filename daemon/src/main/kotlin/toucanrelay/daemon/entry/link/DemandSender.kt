package toucanrelay.daemon.entry.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.queue.DemandDue
import toucanrelay.core.queue.DemandPacer
import toucanrelay.core.queue.DemandReport
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.wire.Demand
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.OrganisationDemand
import toucanrelay.wire.PoolDemand

/** Provides the demand to report on a link. */
internal fun interface DemandSource {
    fun demandFor(link: AgentLink): DemandReport
}

/**
 * Sends demand reports on one link, coalesced and only when the demand changed.
 *
 * @param budget byte budget of all links of the entry; reports that only refresh wait for it, others do not but reduce it.
 */
internal class DemandSender(
    private val tuning: EntryTuning,
    private val budget: TokenBucket,
    private val clock: Clock,
    private val meters: EntryMeters,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val pacer = DemandPacer(tuning.demandRefreshMilliseconds)
    private var sequence = 0L

    fun signalChange() {
        signal.trySend(Unit)
    }

    fun recordGrant() {
        synchronized(pacer) { pacer.recordGrant() }
        signalChange()
    }

    fun reset() {
        synchronized(pacer) { pacer.reset() }
        signalChange()
    }

    /** Waits for a change and sends a report if it is due. */
    suspend fun sendNext(session: AgentSession, source: DemandSource, link: AgentLink) {
        signal.receive()
        if (session.isClosed) return signalChange()
        val report = source.demandFor(link)
        when (val due = synchronized(pacer) { pacer.due(report, clock.nowMilliseconds()) }) {
            DemandDue.Never -> Unit
            DemandDue.AtOnce -> send(session, report, mayWait = false)
            is DemandDue.Refresh -> if (due.milliseconds > 0 || !send(session, report, mayWait = true)) signalChange()
        }
        delay(tuning.demandIntervalMilliseconds)
    }

    /** Sends [report]; returns false when it may wait and the budget is exhausted. */
    private fun send(session: AgentSession, report: DemandReport, mayWait: Boolean): Boolean {
        val message = message(report)
        val bytes = message.serializedSize.toDouble()
        if (!drawFromBudget(bytes, mayWait)) return false
        if (session.send(message)) {
            synchronized(pacer) { pacer.recordSent(report, clock.nowMilliseconds()) }
            meters.demandSent.increment()
            meters.demandBytes.increment(bytes)
        }
        return true
    }

    private fun drawFromBudget(bytes: Double, mayWait: Boolean): Boolean =
        synchronized(budget) {
            if (!mayWait) budget.take(bytes)
            !mayWait || budget.tryTake(bytes)
        }

    private fun message(report: DemandReport): EntryMessage {
        sequence += 1
        val now = clock.nowMilliseconds()
        val demand = Demand.newBuilder().setSequence(sequence)
        report.pools.forEach { (pool, organisations) ->
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
