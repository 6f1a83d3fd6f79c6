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

private const val LEAST_BUSY_SHARE = 0.97

/** A target with always more demand than slots, whose grants take [roundTripMilliseconds] to come back as requests. */
private class SaturatedTarget(
    private val slots: Int,
    private val roundTripMilliseconds: Long,
    private val longestRunMilliseconds: Int,
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

    var deepestStage = 0
        private set

    fun busyShare(milliseconds: Int): Double {
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
        scheduler.state(LinkId(1), listOf(OrganisationDemand(pool, OrganisationId("mill"), 1_000, 0.0, 1.0, 1.0, 0)))
        ends.remove(now).orEmpty().forEach {
            table.release(it)
            staging.completed()
        }
        table.promote().forEach(::start)
        arrivals.remove(now).orEmpty().forEach(::arrive)
        while (table.spare - scheduler.outstanding + staging.depth(slots) > 0) {
            val grant = scheduler.next(setOf(pool), staging.grantLifeMilliseconds) ?: break
            arrivals.getOrPut(now + roundTripMilliseconds) { mutableListOf() } += grant
        }
        deepestStage = maxOf(deepestStage, table.staged)
    }

    private fun arrive(grant: Grant) {
        scheduler.served(grant.id, grant.pool, grant.organisation)?.let { staging.roundTrip(it) }
        val id = RequestId("${++lastRequest}")
        if (table.place(id, reserved = 0, stagingDepth = slots) == AdmissionDecision.START) start(id)
    }

    private fun start(id: RequestId) {
        val end = clock.nowMilliseconds() + random.nextInt(longestRunMilliseconds / 2, longestRunMilliseconds)
        ends.getOrPut(end) { mutableListOf() } += id
    }
}

@OptIn(ExperimentalKotest::class)
class StagingSimulationTest :
    DescribeSpec({
        describe("staging at a target under steady demand") {
            it("keeps the slots busy, whatever slots, round trip and length of requests") {
                val config = PropTestConfig(seed = 4304, iterations = 60)
                checkAll(
                    config,
                    Arb.int(1..32),
                    Arb.int(1..45),
                    Arb.int(200..3_000),
                    Arb.int(),
                ) { slots, trip, run, seed ->
                    val target = SaturatedTarget(slots, trip.toLong(), run, Random(seed))

                    target.busyShare(milliseconds = 20_000) shouldBeGreaterThanOrEqual LEAST_BUSY_SHARE
                }
            }

            it("stages one request where requests are long against the round trip") {
                val target = SaturatedTarget(slots = 8, roundTripMilliseconds = 2, 4_000, Random(7))
                target.busyShare(milliseconds = 20_000)

                target.deepestStage shouldBe 1
            }
        }
    })
