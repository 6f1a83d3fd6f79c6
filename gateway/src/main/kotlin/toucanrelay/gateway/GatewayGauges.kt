package toucanrelay.gateway

import io.micrometer.core.instrument.Tags
import toucanrelay.core.quarantine.SuspectCondition
import toucanrelay.core.target.TargetCondition

/** Registers the gauges that read the state of the gateway's components at each scrape. */
internal fun GatewayComponents.registerGauges() {
    meters.gauge("toucanrelay_active_requests") { server.active }
    meters.gauge("toucanrelay_waiting_requests") { admission.waiting }
    meters.gauge("toucanrelay_caller_connections") { server.openConnections }
    meters.gauge("toucanrelay_closed_caller_connections") { server.closedConnections }
    meters.gauge("toucanrelay_withdrawn") { if (withdrawal.isWithdrawn) 1 else 0 }
    meters.gauge("toucanrelay_loop_lag_milliseconds") { loopLag.milliseconds }
    meters.gauge("toucanrelay_fair_level_tokens_per_second") { fairShares.summary().levelPerSecond }
    meters.gauge("toucanrelay_demanded_tokens_per_second") { fairShares.summary().demandedPerSecond }
    meters.gauge("toucanrelay_served_tokens_per_second") { fairShares.summary().servedPerSecond }
    meters.gauge("toucanrelay_configured_tokens_per_second") {
        configurations.current?.limits?.tokensPerSecond
    }
    meters.gauge("toucanrelay_members") { fleet.size }
    meters.gauge("toucanrelay_reader_rank") { fleet.readerRank() }
    meters.gauge("toucanrelay_configuration_version") { configurations.current?.version }
    meters.gauge("toucanrelay_configuration_age_milliseconds") { configurations.ageMilliseconds() }
    meters.gauge("toucanrelay_limited_targets") { statedLimits.limitedTargets }
    meters.gauge("toucanrelay_backing_off_targets") { backoffs.activeBackoffs }
    meters.gauge("toucanrelay_kept_answer_bytes") { answerMemory.keptBytes }
    tableCopies.forEach { (table, copy) ->
        meters.gauge("toucanrelay_table_age_milliseconds", Tags.of("table", table)) { copy.ageMilliseconds }
    }
    listOf(SuspectCondition.SUSPECTED, SuspectCondition.QUARANTINED).forEach { condition ->
        meters.gauge("toucanrelay_crash_suspects", Tags.of("condition", condition.name.lowercase())) {
            quarantine.counts()[condition] ?: 0
        }
    }
    TargetCondition.entries.forEach { condition ->
        meters.gauge("toucanrelay_targets", Tags.of("condition", condition.name.lowercase())) {
            pool.all().count { it.health.condition == condition }
        }
    }
}

/** Logs how the engines' throughput is divided while it does not cover all demands. */
internal fun GatewayComponents.logFairShares() {
    val summary = fairShares.summary()
    if (summary.levelPerSecond.isInfinite()) return
    log.write(
        "fair-shares",
        "configured" to
            configurations.current
                ?.limits
                ?.tokensPerSecond
                ?.toLong(),
        "demanded" to summary.demandedPerSecond.toLong(),
        "served" to summary.servedPerSecond.toLong(),
        "level" to summary.levelPerSecond.toLong(),
        "largest" to summary.largest.joinToString(),
        "waiting" to admission.waiting,
        "loopLagMs" to loopLag.milliseconds,
    )
}
