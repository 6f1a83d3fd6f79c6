package toucanrelay.standins

import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.http.HttpResponse

private suspend fun withPlatform(
    settings: PlatformSettings = PlatformSettings(),
    test: suspend (PlatformStandIn, HttpCalls) -> Unit,
) {
    val platform = PlatformStandIn(settings)
    val calls = HttpCalls(platform.start())
    try {
        test(platform, calls)
    } finally {
        platform.stop()
    }
}

private fun HttpResponse<String>.tag() = headers().firstValue("ETag").get()

private const val ROW = "/tables/bundles/rows/current"

class PlatformStandInTest :
    DescribeSpec({
        describe("the table service") {
            it("creates a row only if it is absent") {
                withPlatform { _, calls ->
                    calls.get(ROW).statusCode() shouldBe 404
                    calls.put(ROW, "{}", "If-None-Match", "*").statusCode() shouldBe 200
                    calls.put(ROW, "{}", "If-None-Match", "*").statusCode() shouldBe 412
                }
            }

            it("overwrites a row only at the expected version") {
                withPlatform { _, calls ->
                    val first = calls.put(ROW, "1", "If-None-Match", "*").tag()
                    val second = calls.put(ROW, "2", "If-Match", first)
                    second.tag() shouldNotBe first
                    calls.put(ROW, "3", "If-Match", first).statusCode() shouldBe 412
                    calls.get(ROW).body() shouldBe "2"
                    calls.get(ROW).tag() shouldBe second.tag()
                }
            }

            it("deletes a row only at the expected version, and never reuses a version") {
                withPlatform { _, calls ->
                    val first = calls.put(ROW, "1", "If-None-Match", "*").tag()
                    calls.delete(ROW, "If-Match", "\"77\"").statusCode() shouldBe 412
                    calls.delete(ROW, "If-Match", first).statusCode() shouldBe 204
                    calls.put(ROW, "2", "If-None-Match", "*").tag() shouldNotBe first
                }
            }

            it("rejects a write without a condition") {
                withPlatform { _, calls -> calls.put(ROW, "1").statusCode() shouldBe 428 }
            }

            it("counts reads, writes and conflicts") {
                withPlatform { platform, calls ->
                    calls.get(ROW)
                    calls.put(ROW, "1", "If-None-Match", "*")
                    calls.put(ROW, "1", "If-None-Match", "*")
                    platform.counts.tableReads shouldBe 1
                    platform.counts.tableWrites shouldBe 2
                    platform.counts.tableConflicts shouldBe 1
                }
            }
        }

        describe("faults") {
            it("lose the answer to a write that took effect") {
                withPlatform { platform, calls ->
                    platform.faults = PlatformFaults(loseAnswersOfNextWrites = 1)
                    shouldThrowAny { calls.put(ROW, "1", "If-None-Match", "*") }
                    calls.get(ROW).body() shouldBe "1"
                    calls.put(ROW, "2", "If-Match", calls.get(ROW).tag()).statusCode() shouldBe 200
                }
            }

            it("can be set over HTTP to take the services down and restore them") {
                withPlatform { platform, calls ->
                    calls.put("/control/faults", """{"down":true}""").statusCode() shouldBe 204
                    calls.put(ROW, "1", "If-None-Match", "*").statusCode() shouldBe 503
                    calls.get("/instances").statusCode() shouldBe 503
                    calls.put("/control/faults", "{}").statusCode() shouldBe 204
                    calls.get(ROW).statusCode() shouldBe 404
                    platform.faults shouldBe PlatformFaults()
                }
            }
        }

        describe("the list of instances") {
            fun instance(state: String) =
                """{"instanceId":"a1","role":"agent","state":"$state","region":"uusimaa","failureDomain":"u1",""" +
                    """"targetId":"advice-1","host":"127.0.0.1","port":7000}"""

            it("returns the latest state of each instance") {
                withPlatform { platform, calls ->
                    calls.put("/control/instances/a1", instance("live")).statusCode() shouldBe 204
                    calls.put("/control/instances/a1", instance("leaving"))
                    calls.get("/instances").body() shouldContain instance("leaving")
                    platform.removeInstance("a1")
                    calls.get("/instances").body() shouldNotContain "a1"
                }
            }

            it("omits changes within the configured lag") {
                withPlatform { platform, calls ->
                    platform.faults = PlatformFaults(listLagMilliseconds = 600_000)
                    calls.put("/control/instances/a1", instance("live"))
                    calls.get("/instances").body() shouldNotContain "a1"
                }
            }

            it("rejects an instance whose identifier differs from the path") {
                withPlatform { _, calls ->
                    calls.put("/control/instances/a2", instance("live")).statusCode() shouldBe 400
                }
            }
        }

        describe("the stores") {
            it("return objects as they were written") {
                withPlatform { _, calls ->
                    calls.get("/objects/audit/1").statusCode() shouldBe 404
                    calls.put("/objects/audit/1", "text").statusCode() shouldBe 200
                    calls.get("/objects/audit/1").body() shouldBe "text"
                }
            }

            it("answer 429 to weight reads above the configured rate") {
                withPlatform(PlatformSettings(weightReadsPerSecond = 0.001)) { _, calls ->
                    calls.get("/weights/advice").statusCode() shouldBe 200
                    val limited = calls.get("/weights/advice")
                    limited.statusCode() shouldBe 429
                    limited.headers().firstValue("Retry-After").isPresent shouldBe true
                }
            }
        }
    })
