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
internal const val FULL_USE_LIMIT_SECONDS = 40.0
private const val FULL_USE = 0.95
private const val END_GRACE_MILLISECONDS = 10_000L

/** Runs [block] on a fleet that is stopped afterwards. */
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

/** Runs [block] while [loads] are sent to this fleet, then lets the open calls end. */
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
        generator.stop(END_GRACE_MILLISECONDS)
    }
}

/**
 * Suspends until almost all slots are in use, as agents raise their limits on evidence only.
 *
 * @return the time that it took in seconds; [FULL_USE_LIMIT_SECONDS] when that never came.
 */
internal suspend fun RunningFleet.awaitFullUse(): Double {
    val start = System.nanoTime()
    var seconds = 0.0
    while (seconds < FULL_USE_LIMIT_SECONDS) {
        if (engines.sumOf { it.engine.running } >= plan.modelSlots * FULL_USE) return seconds
        delay(SAMPLE_MILLISECONDS)
        seconds = (System.nanoTime() - start) / 1e9
    }
    return FULL_USE_LIMIT_SECONDS
}

/** Calls [sample] regularly for [seconds]. */
internal suspend fun sampleFor(seconds: Double, sample: suspend () -> Unit) {
    val end = System.nanoTime() + (seconds * 1e9).toLong()
    while (System.nanoTime() < end) {
        sample()
        delay(SAMPLE_MILLISECONDS)
    }
}

/** Slots that are in use now and the time that slots were in use so far. */
internal val RunningFleet.busySlotMilliseconds: Long
    get() = engines.sumOf { it.engine.counts.busySlotMilliseconds }

/** Calls that ended without a whole answer and without a refusal. */
internal fun List<OrganisationMeter>.brokenCalls(): Long =
    sumOf { meter ->
        meter.failuresByReason
            .filterKeys { !it.startsWith("refused") }
            .values
            .sum()
    }

/** One figure for each way in which calls failed. */
internal fun List<OrganisationMeter>.failureFigures(): List<Figure> =
    flatMap { it.failuresByReason.entries }
        .groupBy({ it.key }, { it.value })
        .map { (reason, counts) -> Figure(reason, counts.sum().toDouble(), "calls") }
