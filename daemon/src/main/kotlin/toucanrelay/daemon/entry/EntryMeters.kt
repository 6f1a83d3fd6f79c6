package toucanrelay.daemon.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import java.util.concurrent.TimeUnit

/** Counters, timers and gauges of an entry. */
internal class EntryMeters(
    private val registry: MeterRegistry,
) {
    private val refusals =
        RefusalReason.entries.associateWith { registry.counter("toucanrelay.refusals", "reason", it.type) }
    private val retries =
        RetryReason.entries.associateWith { registry.counter("toucanrelay.retries", "reason", it.label) }
    private val firstByte = registry.timer("toucanrelay.entry.first.byte")
    private val wait = registry.timer("toucanrelay.entry.wait")
    private val remoteSent = registry.counter("toucanrelay.entry.remote.bytes", "direction", "sent")
    private val remoteReceived = registry.counter("toucanrelay.entry.remote.bytes", "direction", "received")

    /** Grants declined because no waiting request matched. */
    val grantsDeclined: Counter = registry.counter("toucanrelay.entry.grants.declined")

    /** Demand reports sent. */
    val demandSent: Counter = registry.counter("toucanrelay.entry.demand.sent")

    /** Bytes of the demand reports sent. */
    val demandBytes: Counter = registry.counter("toucanrelay.entry.demand.bytes")

    /** Connections to agents that broke. */
    val linksBroken: Counter = registry.counter("toucanrelay.entry.links.broken")

    /** Connections closed because no message arrived from the agent for too long. */
    val linksSilent: Counter = registry.counter("toucanrelay.entry.links.silent")

    fun recordRefusal(reason: RefusalReason) {
        refusals.getValue(reason).increment()
    }

    fun recordRetry(reason: RetryReason) {
        retries.getValue(reason).increment()
    }

    fun recordWait(milliseconds: Long) = wait.recordMilliseconds(milliseconds)

    fun recordFirstByte(milliseconds: Long) = firstByte.recordMilliseconds(milliseconds)

    fun recordRemoteBytes(sent: Long, received: Long) {
        remoteSent.increment(sent.toDouble())
        remoteReceived.increment(received.toDouble())
    }

    fun recordAnswer(organisation: OrganisationId, generatedTokens: Long) {
        registry.counter("toucanrelay.entry.answers", "organisation", organisation.value).increment()
        registry
            .counter("toucanrelay.entry.generated.tokens", "organisation", organisation.value)
            .increment(generatedTokens.toDouble())
    }

    fun gauge(name: String, value: () -> Number) {
        io.micrometer.core.instrument.Gauge
            .builder("toucanrelay.entry.$name", value)
            .register(registry)
    }

    private fun Timer.recordMilliseconds(milliseconds: Long) = record(milliseconds, TimeUnit.MILLISECONDS)
}
