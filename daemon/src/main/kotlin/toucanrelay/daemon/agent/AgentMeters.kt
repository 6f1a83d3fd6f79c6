package toucanrelay.daemon.agent

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import toucanrelay.core.refusal.RefusalReason

/** Metrics of the role `agent`. */
internal class AgentMeters(
    private val registry: MeterRegistry,
) {
    private val grants = registry.counter("toucanrelay.agent.grants")
    private val grantsExpired = registry.counter("toucanrelay.agent.grants.expired")
    private val grantsDeclined = registry.counter("toucanrelay.agent.grants.declined")
    private val limitCuts = registry.counter("toucanrelay.agent.limit.cuts")
    private val streamsResumed = registry.counter("toucanrelay.agent.streams.resumed")
    private val answersResumed = registry.counter("toucanrelay.agent.answers.resumed")
    private val linksSilent = registry.counter("toucanrelay.agent.links.silent")

    /** Counts a request that was refused or failed. */
    fun recordRefusal(reason: RefusalReason) =
        registry.counter("toucanrelay.refusals", "reason", reason.type).increment()

    fun recordGrant() = grants.increment()

    fun recordExpiredGrants(count: Int) = grantsExpired.increment(count.toDouble())

    fun recordDeclinedGrant() = grantsDeclined.increment()

    fun recordLimitCut() = limitCuts.increment()

    fun recordResumedStream() = streamsResumed.increment()

    fun recordResumedAnswer() = answersResumed.increment()

    fun recordSilentLink() = linksSilent.increment()

    /** Counts a model order under its [outcome]. */
    fun recordModelOrder(outcome: String) =
        registry.counter("toucanrelay.agent.model.orders", "outcome", outcome).increment()

    /** Registers a gauge named [name] that reads [value]. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value() }.strongReference(true).register(registry)
    }
}
