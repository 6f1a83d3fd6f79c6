package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import toucanrelay.core.time.MonotonicClock
import toucanrelay.platform.standin.TargetScript
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

private const val GATEWAYS = 3
private const val LIMIT_PER_SECOND = 3.0
private const val LEARNING_MILLISECONDS = 1_500L
private const val WINDOW_MILLISECONDS = 4_000L
private const val REQUEST_PERIOD_MILLISECONDS = 20L
private const val MAX_REQUESTS = (1.5 * LIMIT_PER_SECOND * WINDOW_MILLISECONDS / 1_000).toInt() + 5
private const val MIN_REQUESTS = (0.6 * LIMIT_PER_SECOND * WINDOW_MILLISECONDS / 1_000).toInt()

class StatedLimitTest :
    DescribeSpec({
        val fixture = GatewayFleetFixture(targets = 2)
        val arrivals = ConcurrentHashMap<String, CopyOnWriteArrayList<Long>>()
        val clock = MonotonicClock

        beforeEach {
            val script =
                TargetScript { request, received, target ->
                    arrivals.getOrPut(target.id) { CopyOnWriteArrayList() } += clock.nowMilliseconds()
                    target.stateLimit(request, LIMIT_PER_SECOND)
                    target.respond(request, received, "whole")
                }
            fixture.start(script) {
                route("/calls/", GatewayFleetFixture.SERVICE, "idempotent")
                service(GatewayFleetFixture.SERVICE)
            }
            repeat(GATEWAYS) { fixture.startGateway("/calls/x") }
        }

        afterEach { fixture.stop() }

        describe("targets that state in their answers how many requests per second they take") {
            it("get no more than that from all gateways together, and most of it while callers ask for more") {
                val calls = (LEARNING_MILLISECONDS + WINDOW_MILLISECONDS) / REQUEST_PERIOD_MILLISECONDS
                val windowStart = clock.nowMilliseconds() + LEARNING_MILLISECONDS
                coroutineScope {
                    (0 until calls.toInt())
                        .map { number ->
                            delay(REQUEST_PERIOD_MILLISECONDS)
                            async { fixture.send(number % GATEWAYS, "/calls/x") }
                        }.awaitAll()
                }
                arrivals.size shouldBe 2
                arrivals.values.forEach { times ->
                    val inWindow = times.count { it - windowStart in 0 until WINDOW_MILLISECONDS }
                    inWindow shouldBeLessThanOrEqual MAX_REQUESTS
                    inWindow shouldBeGreaterThanOrEqual MIN_REQUESTS
                }
            }
        }
    })
