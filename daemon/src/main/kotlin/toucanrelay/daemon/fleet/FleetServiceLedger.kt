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

/** The ledger of this process, shared by requests and exchange links; safe for concurrent use. */
internal class FleetServiceLedger(
    clock: Clock,
    private val shareOf: (OrganisationId) -> Double?,
    meters: MeterRegistry,
) : ServiceLedger {
    private val lock = Any()
    private val exchange = ServiceExchange(clock, FleetLedger(clock))
    private val lastLink = AtomicLong()
    private val isAdopted = MutableStateFlow(false)

    /** Whether a neighbour's totals were taken in since the start. */
    val adopted: StateFlow<Boolean> = isAdopted.asStateFlow()

    init {
        meters.gauge("toucanrelay.fleet.exchange.links", this) { it.linkCount.toDouble() }
        meters.gauge("toucanrelay.fleet.backlogged.organisations", this) { it.backloggedCount.toDouble() }
    }

    private val linkCount: Int
        get() = synchronized(lock) { exchange.linkCount }

    private val backloggedCount: Int
        get() = synchronized(lock) { exchange.backlogged.size }

    override fun charge(organisation: OrganisationId, units: Double) {
        val share = shareOf(organisation) ?: SHARE_WITHOUT_TERMS
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

    /** Moves the system virtual time on. */
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

    /** The next batch to send on [link]; null when it is closed. */
    fun nextBatch(link: ExchangeLinkId): ExchangeBatch? = synchronized(lock) { exchange.nextBatch(link) }

    /** How many links are open. */
    fun links(): Int = linkCount

    /** Takes in [batch] that came on [link]. */
    fun receive(link: ExchangeLinkId, batch: ExchangeBatch): Result<Unit, ExchangeError> =
        synchronized(lock) { exchange.receive(link, batch) }.onSuccess { isAdopted.value = true }

    private companion object {
        /** Share of an organisation that the bundle does not name any more. */
        const val SHARE_WITHOUT_TERMS = 1.0
    }
}
