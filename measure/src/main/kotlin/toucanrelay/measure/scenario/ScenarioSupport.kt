package toucanrelay.measure.scenario

import kotlinx.coroutines.delay
import toucanrelay.measure.fleet.FleetPlan
import toucanrelay.measure.fleet.FleetPolicy
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.load.OrganisationLoad
import toucanrelay.measure.load.OrganisationMeter
import toucanrelay.measure.result.Figure

internal const val SAMPLE_MILLISECONDS = 50L
internal const val FULL_UTILISATION_TIMEOUT_SECONDS = 40.0
private const val FULL_UTILISATION_FRACTION = 0.95
private const val STOP_GRACE_MILLISECONDS = 10_000L

/** Starts a fleet, runs [block] on it and stops it. */
internal suspend fun <T> withFleet(
    plan: FleetPlan,
    policy: FleetPolicy = FleetPolicy.LEAST_VIRTUAL_TIME_FLEET,
    block: suspend (RunningFleet) -> T,
): T {
    val fleet = RunningFleet.start(plan, policy)
    return try {
        block(fleet)
    } finally {
        fleet.stop()
    }
}

/** Runs [block] while [loads] are sent to this fleet, then waits for the calls in progress. */
internal suspend fun <T> RunningFleet.underLoad(
    loads: List<OrganisationLoad>,
    seed: Long,
    block: suspend (LoadGenerator) -> T,
): T {
    val generator = LoadGenerator(loadVertx, endpoints, loads, seed)
    generator.start()
    return try {
        block(generator)
    } finally {
        generator.stop(STOP_GRACE_MILLISECONDS)
    }
}

/**
 * Suspends until almost all slots are in use. This takes a while because agents raise their limits only when the load
 * shows that their targets can serve more.
 *
 * @return elapsed seconds; [FULL_UTILISATION_TIMEOUT_SECONDS] if the time ran out.
 */
internal suspend fun RunningFleet.awaitFullUtilisation(): Double {
    val start = System.nanoTime()
    var seconds = 0.0
    while (seconds < FULL_UTILISATION_TIMEOUT_SECONDS) {
        if (engines.sumOf { it.engine.running } >= plan.modelSlots * FULL_UTILISATION_FRACTION) return seconds
        delay(SAMPLE_MILLISECONDS)
        seconds = (System.nanoTime() - start) / 1e9
    }
    return FULL_UTILISATION_TIMEOUT_SECONDS
}

/** Calls [sample] every [SAMPLE_MILLISECONDS] for [seconds]. */
internal suspend fun sampleFor(seconds: Double, sample: suspend () -> Unit) {
    val end = System.nanoTime() + (seconds * 1e9).toLong()
    while (System.nanoTime() < end) {
        sample()
        delay(SAMPLE_MILLISECONDS)
    }
}

/** Time that slots were in use so far, summed over all engines. */
internal val RunningFleet.busySlotMilliseconds: Long
    get() = engines.sumOf { it.engine.counts.busySlotMilliseconds }

/** Counts the calls that ended with neither a complete answer nor a refusal. */
internal fun List<OrganisationMeter>.interruptedCalls(): Long =
    sumOf { meter ->
        meter.failuresByReason
            .filterKeys { !it.startsWith("refused") }
            .values
            .sum()
    }

/** Returns one figure for each reason for which calls failed. */
internal fun List<OrganisationMeter>.failureFigures(): List<Figure> =
    flatMap { it.failuresByReason.entries }
        .groupBy({ it.key }, { it.value })
        .map { (reason, counts) -> Figure(reason, counts.sum().toDouble(), "calls") }
