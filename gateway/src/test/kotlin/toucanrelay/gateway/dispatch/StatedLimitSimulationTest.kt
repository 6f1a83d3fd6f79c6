package toucanrelay.gateway.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private const val SECONDS = 16
private const val WINDOW_MILLISECONDS = StatedLimitSimulation.WINDOW_MILLISECONDS

/** From this time on the rule holds: targets state their limits from the start. */
private const val CONTACT_MILLISECONDS = 4_000L
private const val MIN_USED_FRACTION = 0.75
private val ALL_LIMITS = listOf(0.5, 1.8, 3.9, 9.7, 50.0)
private const val GATEWAYS_PER_TARGET = 4

private fun allowed(limit: Double): Int = (1.5 * limit * WINDOW_MILLISECONDS / 1_000).toInt() + 5

private fun simulate(seconds: Int = SECONDS, configure: StatedLimitOptions.() -> Unit): TargetArrivals =
    StatedLimitSimulation(StatedLimitOptions().apply(configure)).run(seconds)

class StatedLimitSimulationTest :
    DescribeSpec({
        mapOf(4 to ALL_LIMITS, 24 to ALL_LIMITS, 200 to listOf(0.5, 3.9)).forEach { (count, limits) ->
            limits.forEach { limit ->
                describe("$count gateways and targets that take $limit requests per second") {
                    val targetCount = maxOf(6, count / GATEWAYS_PER_TARGET)
                    val arrivals =
                        simulate {
                            gateways = count
                            targets = targetCount
                            demandPerSecond = maxOf(60.0, 3 * limit * targets)
                            limitPerSecond = { limit }
                            lostDigests = 0.2
                            weightOf = { index, _ -> 1.0 + index % 5 }
                        }

                    it("send no more than the rule allows") {
                        arrivals.mostInWindow(CONTACT_MILLISECONDS, WINDOW_MILLISECONDS) shouldBeLessThanOrEqual
                            allowed(limit)
                    }

                    it("use most of it") {
                        val used = arrivals.perSecond(CONTACT_MILLISECONDS, SECONDS * 1_000L, targetCount) / limit
                        println("used fraction of the limit $limit by $count gateways: $used")
                        used shouldBeGreaterThan MIN_USED_FRACTION
                    }
                }
            }
        }

        listOf(4, 24).forEach { count ->
            describe("$count gateways of which one receives all requests, first one and then another") {
                val arrivals =
                    simulate {
                        gateways = count
                        limitPerSecond = { 3.0 }
                        weightOf = { index, now -> if (index == (now / 8_000 % 2).toInt()) 1.0 else 0.0 }
                    }

                it("send no more than the rule allows") {
                    arrivals.mostInWindow(CONTACT_MILLISECONDS, WINDOW_MILLISECONDS) shouldBeLessThanOrEqual
                        allowed(3.0)
                }

                it("use most of it") {
                    arrivals.perSecond(CONTACT_MILLISECONDS, SECONDS * 1_000L, targets = 6) / 3.0 shouldBeGreaterThan
                        MIN_USED_FRACTION
                }
            }
        }

        describe("a limit that falls and ends") {
            val arrivals =
                simulate {
                    gateways = 24
                    demandPerSecond = 120.0
                    limitPerSecond = { now ->
                        if (now < 4_000) {
                            10.0
                        } else if (now < 12_000) {
                            3.0
                        } else {
                            null
                        }
                    }
                }

            it("is kept after it has fallen") {
                arrivals.mostInWindow(5_000, WINDOW_MILLISECONDS, to = 12_000) shouldBeLessThanOrEqual allowed(3.0)
                arrivals.perSecond(5_000, 12_000, targets = 6) shouldBeGreaterThan 3.0 * MIN_USED_FRACTION
            }

            it("does not bind any more after it has ended") {
                arrivals.perSecond(13_500, SECONDS * 1_000L, targets = 6) shouldBeGreaterThan 18.0
            }
        }

        describe("gateways that do not hear of each other") {
            it("exceed the limit, so that the division is what keeps it") {
                val arrivals =
                    simulate {
                        gateways = 24
                        hasDigests = false
                        demandPerSecond = 200.0
                        limitPerSecond = { 4.0 }
                    }
                arrivals.mostInWindow(CONTACT_MILLISECONDS, WINDOW_MILLISECONDS) shouldBeGreaterThan allowed(4.0)
            }
        }
    })
