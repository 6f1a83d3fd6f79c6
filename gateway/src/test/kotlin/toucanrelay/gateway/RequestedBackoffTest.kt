package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import toucanrelay.core.time.MonotonicClock
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import java.util.concurrent.CopyOnWriteArrayList

private const val REQUESTS = 20

class RequestedBackoffTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var busy: TargetStandIn
        val clock = MonotonicClock

        beforeEach {
            fixture = GatewayFixture()
            fixture.start()
            busy = fixture.targets[0]
        }

        afterEach { fixture.kill() }

        fun refusing(seconds: String) =
            TargetScript { request, received, target ->
                target.requestBackoff(request, seconds)
                target.reject(request, received)
            }

        /** Sends requests until [busy] has refused one for [seconds]. */
        suspend fun letRefuse(seconds: String) {
            busy.script = refusing(seconds)
            fixture.reach(busy)
            fixture.targets.forEach { it.receivedRequests.clear() }
        }

        describe("a target that refuses a request and asks for a back-off") {
            it("gets nothing for that time, and then requests again") {
                letRefuse("1")
                val refusedAt = clock.nowMilliseconds()
                val arrivals = CopyOnWriteArrayList<Long>()
                busy.script =
                    TargetScript { request, received, target ->
                        arrivals += clock.nowMilliseconds()
                        target.respond(request, received, "whole")
                    }
                fixture.reach(busy)
                arrivals.first() - refusedAt shouldBeGreaterThanOrEqual 900L
                arrivals.first() - refusedAt shouldBeLessThan 5_000L
            }

            it("gets nothing from hedges and retries either, in a new configuration, and when it registers again") {
                letRefuse("30")
                fixture.store.putConfiguration(fixture.configuration(2))
                fixture.store.putRegistration(busy.id, null)
                fixture.store.putRegistration(busy.id, busy.registration("models", "domain"))
                fixture.eventually { fixture.metrics().contains("toucanrelay_configuration_version 2.0") }
                fixture.targets[1].script =
                    TargetScript { request, received, target -> target.respond(request, received, "failed", 500) }
                repeat(REQUESTS) { fixture.send("/calls/x").status shouldBe 500 }
                fixture.targets[1].script = TargetScript { _, _, _ -> }
                fixture.send("/calls/x", deadlineMilliseconds = 2_500).status shouldBe 504
                busy.receivedRequests.size shouldBe 0
            }

            it("gets requests at once in its next run") {
                letRefuse("30")
                busy.script = TargetScript { request, received, target -> target.respond(request, received, "whole") }
                fixture.store.putRegistration(busy.id, busy.registration("models", "domain", incarnation = 2))
                fixture.reach(busy)
            }

            listOf("soon", "-1", "0", "Fri, 04 Dec 2026 07:28:00 GMT").forEach { value ->
                it("is used again at once if the time cannot be read or is zero: $value") {
                    letRefuse(value)
                    fixture.reach(busy)
                    fixture.metrics() shouldContain "toucanrelay_target_backoffs_total 0.0"
                }
            }

            it("is used again at once if it did not refuse the request") {
                busy.script =
                    TargetScript { request, received, target ->
                        target.requestBackoff(request, "30")
                        target.respond(request, received, "whole")
                    }
                repeat(2) { fixture.reach(busy) }
            }
        }

        describe("requests while all targets have asked for a back-off") {
            suspend fun letAllRefuse(seconds: String) {
                fixture.targets.forEach { it.script = refusing(seconds) }
                fixture.eventually { fixture.send("/calls/x").body == "targets-backing-off\n" }
                fixture.targets.forEach { it.receivedRequests.clear() }
            }

            it("are refused at once if they cannot wait for its end, with the time of return") {
                letAllRefuse("30")
                val sentAt = clock.nowMilliseconds()
                val answer = fixture.send("/patient/x")
                clock.nowMilliseconds() - sentAt shouldBeLessThan 1_000L
                answer.status shouldBe 503
                answer.headers
                    .getValue("retry-after")
                    .toDouble()
                    .shouldBeBetween(25.0, 32.0, 0.0)
                fixture.receivedCount() shouldBe 0
                val metrics = fixture.metrics()
                metrics shouldContain "toucanrelay_backing_off_targets 2.0"
                metrics shouldContain "toucanrelay_target_backoffs_total 2.0"
            }

            it("wait for its end if they can, and are served then") {
                letAllRefuse("0.6")
                val serve = TargetScript { request, received, target -> target.respond(request, received, "whole") }
                fixture.targets.forEach { it.script = serve }
                fixture.send("/patient/x").status shouldBe 200
            }

            it("are served by a target that joins meanwhile") {
                letAllRefuse("30")
                val joined = TargetStandIn(fixture.vertx, "target-3")
                joined.start()
                fixture.store.putRegistration(joined.id, joined.registration("models", "domain"))
                fixture.eventually { fixture.send("/calls/x").status == 200 }
                delay(50)
                fixture.receivedCount() shouldBe 0
            }
        }
    })
