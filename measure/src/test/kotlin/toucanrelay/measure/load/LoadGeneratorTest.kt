package toucanrelay.measure.load

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.ModelEngine
import kotlin.time.Duration.Companion.seconds

private const val READINGS = 100

private val timing =
    EngineTiming(stepMilliseconds = 1.0, stepMillisecondsPerRequest = 0.0, firstTokenMilliseconds = 0.0)
private val mix = RequestMix("advice", listOf(RequestKind(answerTokens = 3..6, hintFactors = 0.1..10.0)))

private fun load(arrivals: Arrivals, mix: RequestMix) = OrganisationLoad("first", "key", 2.0, arrivals, mix)

private suspend fun withLoad(load: OrganisationLoad, test: suspend (OrganisationMeter) -> Unit) {
    val vertx = Vertx.vertx()
    val engine = ModelEngine(EngineSettings(slots = 4, timing = timing), vertx)
    val generator = LoadGenerator(vertx, listOf(Endpoint("127.0.0.1", engine.start())), listOf(load), seed = 5)
    try {
        generator.start()
        test(generator.meters.single())
        generator.stop(graceMilliseconds = 10_000)
        generator.outstanding shouldBe 0
    } finally {
        engine.stop()
        vertx.close().coAwait()
    }
}

class LoadGeneratorTest :
    DescribeSpec({
        describe("a load generator") {
            it("keeps the requests of a closed loop in progress and counts complete answers") {
                withLoad(load(Arrivals.ClosedLoop(6), mix)) { meter ->
                    eventually(20.seconds) { meter.answers shouldBeGreaterThanOrEqualTo 30L }
                    // Between the end of a call and the start of the next one, a single reading finds one call fewer.
                    List(READINGS) {
                        delay(1)
                        meter.outstanding
                    }.max() shouldBe 6
                    meter.failuresByReason.shouldBeEmpty()
                    meter.serviceUnits shouldBeGreaterThanOrEqualTo meter.tokens.toDouble()
                    meter.firstTokenMicroseconds().totalCount shouldBeGreaterThanOrEqualTo 30L
                }
            }

            it("sends open-loop requests without waiting for answers") {
                withLoad(load(Arrivals.OpenLoop(requestsPerSecond = 200.0), mix)) { meter ->
                    eventually(20.seconds) { meter.answers shouldBeGreaterThanOrEqualTo 30L }
                    meter.failuresByReason.shouldBeEmpty()
                }
            }

            it("drops and counts arrivals beyond the limit of calls in progress") {
                withLoad(load(Arrivals.OpenLoop(requestsPerSecond = 500.0, maxOutstanding = 1), mix)) { meter ->
                    eventually(20.seconds) { meter.dropped shouldBeGreaterThanOrEqualTo 5L }
                }
            }

            it("counts refusals by reason") {
                withLoad(load(Arrivals.ClosedLoop(1), mix.copy(model = "absent"))) { meter ->
                    eventually(20.seconds) { meter.failuresByReason shouldContainKey "refused: 404 (executed: )" }
                    meter.answers shouldBe 0
                }
            }
        }
    })
