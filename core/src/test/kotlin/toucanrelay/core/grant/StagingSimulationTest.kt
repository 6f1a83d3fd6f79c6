package toucanrelay.core.grant

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.admission.AdmissionDecision
import toucanrelay.core.admission.SlotTable
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private const val MIN_UTILISATION = 0.97

/** A target with more demand than slots at all times, whose grants return as requests after [roundTripMilliseconds]. */
private class SaturatedTarget(
    private val slots: Int,
    private val roundTripMilliseconds: Long,
    private val maxRunMilliseconds: Int,
    private val random: Random,
) {
    private val clock = ManualClock()
    private val pool = Pool.ofModel("advice")
    private val scheduler = GrantScheduler(clock)
    private val staging = StagingDepth(clock)
    private val table = SlotTable { slots }
    private val arrivals = mutableMapOf<Long, MutableList<Grant>>()
    private val ends = mutableMapOf<Long, MutableList<RequestId>>()
    private var lastRequest = 0

    var maxStaged = 0
        private set

    fun utilisation(milliseconds: Int): Double {
        var busy = 0L
        repeat(milliseconds) {
            step()
            if (it >= milliseconds / 10) busy += table.running
            clock.advance(1)
        }
        return busy.toDouble() / (milliseconds - milliseconds / 10) / slots
    }

    private fun step() {
        val now = clock.nowMilliseconds()
        scheduler.updateDemand(
            LinkId(1),
            listOf(OrganisationDemand(pool, OrganisationId("mill"), 1_000, 0.0, 1.0, 1.0, 0)),
        )
        ends.remove(now).orEmpty().forEach {
            table.release(it)
            staging.recordCompletion()
        }
        table.promote().forEach(::start)
        arrivals.remove(now).orEmpty().forEach(::arrive)
        while (table.spare - scheduler.outstanding + staging.depth(slots) > 0) {
            val grant = scheduler.grantNext(setOf(pool), staging.grantLifetimeMilliseconds) ?: break
            arrivals.getOrPut(now + roundTripMilliseconds) { mutableListOf() } += grant
        }
        maxStaged = maxOf(maxStaged, table.staged)
    }

    private fun arrive(grant: Grant) {
        scheduler.consume(grant.id, grant.pool, grant.organisation)?.let { staging.recordRoundTrip(it) }
        val id = RequestId("${++lastRequest}")
        if (table.place(id, reserved = 0, stagingDepth = slots) == AdmissionDecision.START) start(id)
    }

    private fun start(id: RequestId) {
        val end = clock.nowMilliseconds() + random.nextInt(maxRunMilliseconds / 2, maxRunMilliseconds)
        ends.getOrPut(end) { mutableListOf() } += id
    }
}

@OptIn(ExperimentalKotest::class)
class StagingSimulationTest :
    DescribeSpec({
        describe("staging at a target under steady demand") {
            it("keeps the slots busy for any number of slots, round trip and request duration") {
                val config = PropTestConfig(seed = 4304, iterations = 60)
                checkAll(
                    config,
                    Arb.int(1..32),
                    Arb.int(1..45),
                    Arb.int(200..3_000),
                    Arb.int(),
                ) { slots, trip, run, seed ->
                    val target = SaturatedTarget(slots, trip.toLong(), run, Random(seed))

                    target.utilisation(milliseconds = 20_000) shouldBeGreaterThanOrEqual MIN_UTILISATION
                }
            }

            it("stages one request when requests take much longer than the round trip") {
                val target = SaturatedTarget(slots = 8, roundTripMilliseconds = 2, 4_000, Random(7))
                target.utilisation(milliseconds = 20_000)

                target.maxStaged shouldBe 1
            }
        }
    })
