package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpServerRequest
import toucanrelay.core.time.Clock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn

private const val EVENTS = 40
private const val EVENT_PERIOD_MILLISECONDS = 50L

/** Longer than a target may be silent. */
private const val PAUSE_MILLISECONDS = 1_300L

/** Longer than the period of the ticks, so that the next tick and the check after it are both due. */
private const val DELAY_MILLISECONDS = 60L

/** Ticks of the measurement of the lag from one check for silent targets to the next. */
private const val TICKS_PER_CHECK = 5L

/** Holds up the event loop between a tick and the check for silent targets that is due with it, when it is armed. */
private class PausingClock : Clock {
    private var reads = 0L
    private var isNext = false

    @Volatile
    var isArmed = false

    override fun nowMilliseconds(): Long {
        val now = MonotonicClock.nowMilliseconds()
        // The first read is that of the start.
        val ticks = reads++
        when {
            isNext -> pause()
            isArmed && ticks % TICKS_PER_CHECK == TICKS_PER_CHECK - 1 -> delayNext()
        }
        return now
    }

    private fun delayNext() {
        isNext = true
        Thread.sleep(DELAY_MILLISECONDS)
    }

    private fun pause() {
        isNext = false
        isArmed = false
        Thread.sleep(PAUSE_MILLISECONDS)
    }
}

class AnswerEndedByOwnLagTest :
    DescribeSpec({
        val clock = PausingClock()
        val fixture = GatewayFixture(lagClock = clock)

        fun streamSlowly(request: HttpServerRequest, received: ReceivedRequest, target: TargetStandIn) {
            val response = target.beginStream(request, received)
            var last = received.headers["last-event-id"]?.toInt() ?: 0
            fixture.vertx.setPeriodic(EVENT_PERIOD_MILLISECONDS) { timer ->
                response.write("id: ${++last}\ndata: event $last\n\n")
                if (last == EVENTS) {
                    fixture.vertx.cancelTimer(timer)
                    response.end()
                }
            }
        }

        afterSpec { fixture.kill() }

        describe("a target that sends events all the time") {
            it("is not taken for silent when the process's own event loop was held up") {
                fixture.start()
                fixture.targets.forEach { it.script = TargetScript(::streamSlowly) }
                repeat(2) {
                    fixture.targets.forEach { it.receivedRequests.clear() }
                    clock.isArmed = true
                    val answer = fixture.send("/streams/x")
                    clock.isArmed shouldBe false
                    Regex("id: (\\d+)").findAll(answer.body).map { it.groupValues[1].toInt() }.toList() shouldBe
                        (1..EVENTS).toList()
                    fixture.receivedCount() shouldBe 1
                }
            }
        }
    })
