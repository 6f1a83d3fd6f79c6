package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import toucanrelay.core.exchange.ExchangeBatch
import toucanrelay.core.exchange.ExchangeError
import toucanrelay.core.exchange.ExchangeLinkId
import toucanrelay.core.exchange.ServiceExchange
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock
import java.util.concurrent.atomic.AtomicLong

/** The service ledger of this process, used by requests and exchange links; thread-safe. */
internal class FleetServiceLedger(
    clock: Clock,
    private val shareOf: (OrganisationId) -> Double?,
    meters: MeterRegistry,
) : ServiceLedger {
    private val lock = Any()
    private val exchange = ServiceExchange(clock, FleetLedger(clock))
    private val lastLink = AtomicLong()
    private val batchReceived = MutableStateFlow(false)

    /** Whether a batch from a neighbour was applied since the start; the first batch on a link carries all totals. */
    val hasReceivedBatch: StateFlow<Boolean> = batchReceived.asStateFlow()

    init {
        meters.gauge("toucanrelay.fleet.exchange.links", this) { it.linkCount.toDouble() }
        meters.gauge("toucanrelay.fleet.backlogged.organisations", this) { it.backloggedCount.toDouble() }
    }

    private val linkCount: Int
        get() = synchronized(lock) { exchange.linkCount }

    private val backloggedCount: Int
        get() = synchronized(lock) { exchange.backlogged.size }

    override fun charge(organisation: OrganisationId, units: Double) {
        val share = shareOf(organisation) ?: DEFAULT_SHARE
        synchronized(lock) { exchange.charge(organisation, units / share) }
    }

    override fun virtualTime(organisation: OrganisationId): Double =
        synchronized(lock) { exchange.virtualTime(organisation) }

    override fun activate(organisation: OrganisationId) {
        synchronized(lock) { exchange.activate(organisation) }
    }

    override fun deactivate(organisation: OrganisationId) {
        synchronized(lock) { exchange.deactivate(organisation) }
    }

    /** Advances the system virtual time. */
    fun advance() {
        synchronized(lock) { exchange.advance() }
    }

    /** Opens a link to a neighbour. */
    fun open(): ExchangeLinkId {
        val link = ExchangeLinkId(lastLink.incrementAndGet())
        synchronized(lock) { exchange.open(link) }
        return link
    }

    /** Closes [link]. */
    fun close(link: ExchangeLinkId) {
        synchronized(lock) { exchange.close(link) }
    }

    /** Returns the next batch to send on [link]; null when it is closed. */
    fun nextBatch(link: ExchangeLinkId): ExchangeBatch? = synchronized(lock) { exchange.nextBatch(link) }

    /** Returns the number of open links. */
    fun openLinkCount(): Int = linkCount

    /** Applies [batch], which was received on [link]. */
    fun receive(link: ExchangeLinkId, batch: ExchangeBatch): Result<Unit, ExchangeError> =
        synchronized(lock) { exchange.receive(link, batch) }.onSuccess { batchReceived.value = true }

    private companion object {
        /** Share of an organisation that the held bundle no longer contains. */
        const val DEFAULT_SHARE = 1.0
    }
}
