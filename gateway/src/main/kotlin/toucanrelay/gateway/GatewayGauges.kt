package toucanrelay.gateway

import io.micrometer.core.instrument.Tags
import toucanrelay.core.target.TargetCondition

/** Registers the gauges that read the state of the gateway's components at each scrape. */
internal fun GatewayComponents.registerGauges() {
    meters.gauge("toucanrelay_active_requests") { server.active }
    meters.gauge("toucanrelay_waiting_requests") { admission.waiting }
    meters.gauge("toucanrelay_loop_lag_milliseconds") { loopLag.milliseconds }
    meters.gauge("toucanrelay_members") { fleet.size }
    meters.gauge("toucanrelay_reader_rank") { fleet.readerRank() }
    meters.gauge("toucanrelay_configuration_version") { configurations.current?.version }
    meters.gauge("toucanrelay_configuration_age_milliseconds") { configurations.ageMilliseconds() }
    tableCopies.forEach { (table, copy) ->
        meters.gauge("toucanrelay_table_age_milliseconds", Tags.of("table", table)) { copy.ageMilliseconds }
    }
    TargetCondition.entries.forEach { condition ->
        meters.gauge("toucanrelay_targets", Tags.of("condition", condition.name.lowercase())) {
            pool.all().count { it.health.condition == condition }
        }
    }
}
