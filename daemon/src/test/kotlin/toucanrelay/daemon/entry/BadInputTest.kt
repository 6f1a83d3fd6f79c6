package toucanrelay.daemon.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldMatch
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import toucanrelay.core.bundle.OrganisationLimits
import kotlin.time.Duration.Companion.seconds

private const val CHAT = "/v1/chat/completions"
private const val MESSAGES = """"messages":[{"role":"user","content":"x"}]"""

/**
 * A call that the entry refuses.
 *
 * @property problem last segment of the problem type in the answer.
 */
private class BadCall(
    val name: String,
    val status: Int,
    val problem: String,
    val body: String = chatBody(false, 5),
    val path: String = CHAT,
    val key: String? = KEY_OF_MILL,
    val headers: Map<String, String> = emptyMap(),
)

private val badCalls =
    listOf(
        BadCall("no key", 401, "unknown-key", key = null),
        BadCall("a wrong key", 401, "unknown-key", key = "guessed"),
        BadCall("no body", 400, "malformed-request", body = ""),
        BadCall("a body that is not JSON", 400, "malformed-request", body = "{\"model\":"),
        BadCall("a body that is a list", 400, "malformed-request", body = "[]"),
        BadCall("no model", 400, "malformed-request", body = "{$MESSAGES}"),
        BadCall("a model that is a number", 400, "malformed-request", body = """{"model":1,$MESSAGES}"""),
        BadCall("no messages", 400, "malformed-request", body = """{"model":"advice"}"""),
        BadCall("a message that is text", 400, "malformed-request", body = """{"model":"advice","messages":["x"]}"""),
        BadCall("stream as text", 400, "malformed-request", body = """{"model":"advice","stream":"yes",$MESSAGES}"""),
        BadCall("negative tokens", 400, "malformed-request", body = """{"model":"advice","max_tokens":-1,$MESSAGES}"""),
        BadCall("deep nesting", 400, "malformed-request", body = "[".repeat(3_000)),
        BadCall("a body above the limit", 413, "body-too-large", body = chatBody(false, 5, prompt = "x".repeat(5_000))),
        BadCall("an unknown model", 404, "unknown-pool", body = chatBody(false, 5, model = "none")),
        BadCall("an unknown adapter", 404, "unknown-pool", body = chatBody(false, 5, model = "advice+none")),
        BadCall("an unknown service", 404, "unknown-pool", path = "/services/none/x"),
        BadCall("a forbidden service", 403, "forbidden-pool", path = "/services/bookings/x", key = KEY_OF_DEPOT),
        BadCall("no service", 400, "malformed-request", path = "/services/"),
        BadCall("a dot segment", 400, "malformed-request", path = "/services/bookings/read/%2e%2e/drops"),
        BadCall(
            name = "an idempotency key that is too long",
            status = 400,
            problem = "malformed-request",
            path = "/services/bookings/drops",
            headers = mapOf("Idempotency-Key" to "k".repeat(300)),
        ),
        BadCall("an unknown path", 404, "unknown-pool", path = "/v2/none"),
    )

/** Returns the head of a call with [fields] on a connection that may carry more calls. */
private fun rawHead(vararg fields: String): String =
    "POST $CHAT HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer $KEY_OF_MILL\r\n" +
        fields.joinToString("") { "$it\r\n" } + "\r\n"

private suspend fun withSmallLimits(
    tuning: EntryTuning = EntryTuning(),
    test: suspend (FakeAgent, RunningEntry) -> Unit,
) {
    val agent = FakeAgent("t1")
    val limits = OrganisationLimits(waitingRequests = 2, inFlightRequests = 2, bodyBytes = 4_000)
    TestFleet(bundleOf(mapOf("t1" to advice, "s1" to bookings), limits)).use { fleet ->
        fleet.link(agent.record)
        fleet.withEntry(tuning) { entry ->
            test(agent, entry)
            entry.caller.chat().body() shouldBe "hello"
            eventually(10.seconds) { entry.gauge("toucanrelay.entry.body.bytes") shouldBe 0.0 }
        }
    }
    agent.close()
}

class BadInputTest :
    DescribeSpec({
        describe("an invalid call is refused before it is sent") {
            badCalls.forEach { bad ->
                it("with ${bad.name}") {
                    withSmallLimits { agent, entry ->
                        val answer = entry.caller.post(bad.path, bad.body, bad.key, bad.headers)

                        answer.statusCode() shouldBe bad.status
                        answer.problem shouldBe bad.problem
                        answer.executed shouldBe "no"
                        answer.headers().firstValue("Content-Type").get() shouldBe "application/problem+json"
                        answer.body() shouldContain "\"requestId\":\""
                        agent.served.size shouldBe 0
                        entry.count("toucanrelay.refusals", "reason", bad.problem) shouldBe 1.0
                    }
                }
            }
        }

        describe("an incomplete body") {
            val tuning = EntryTuning(bodyTimeoutMilliseconds = 300)

            it("is refused when it arrives too slowly") {
                withSmallLimits(tuning) { _, entry ->
                    val answer = entry.caller.raw(rawPost("{\"model\"", contentLength = 500))
                    answer shouldStartWith "HTTP/1.1 408"
                    answer shouldContain "incomplete-request"
                }
            }

            it("is counted as refused when the caller disconnects before its end") {
                withSmallLimits(tuning) { _, entry ->
                    java.net.Socket("127.0.0.1", entry.caller.port).use {
                        it.getOutputStream().write(rawPost("{\"model\"", contentLength = 500).toByteArray())
                    }
                    eventually(10.seconds) {
                        entry.count("toucanrelay.refusals", "reason", "incomplete-request") shouldBe 1.0
                    }
                }
            }
        }

        describe("invalid HTTP on the port for callers") {
            listOf("\u0000\u0001\u0002garbage\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n").forEach { text ->
                it("closes the connection and does not affect other callers: ${text.filter { it.isLetter() }}") {
                    withSmallLimits { _, entry ->
                        entry.caller.raw(text) shouldMatch
                            Regex("HTTP/\\d\\.\\d (400|501) [\\s\\S]*")
                    }
                }
            }
        }

        // Guards against a request inside another one that is served, as two readers find the end of the outer one apart.
        describe("a request with another one in a body whose end is in doubt") {
            val inner = rawPost(chatBody(false, 5))
            val body = "0\r\n\r\n$inner"
            mapOf(
                "a length and a coding" to
                    rawHead("Content-Length: ${body.length}", "Transfer-Encoding: chunked") + body,
                "a coding after chunked" to rawHead("Transfer-Encoding: chunked, identity") + body,
                "a chunk of 33 bits" to rawHead("Transfer-Encoding: chunked") + "100000000\r\n\r\n" + inner,
            ).forEach { (what, text) ->
                it("ends with its connection: $what") {
                    withSmallLimits { agent, entry ->
                        entry.caller.raw(text) shouldNotContain "HTTP/1.1 2"
                        agent.served.size shouldBe 0
                    }
                }
            }
        }

        describe("a request above the organisation's limit of waiting requests") {
            it("is refused immediately with Retry-After") {
                withSmallLimits { agent, entry ->
                    agent.announce(free = 0)
                    val waiting =
                        (1..2).map { entry.caller.send("POST", CHAT, chatBody(false, 5), KEY_OF_MILL, emptyMap()) }
                    eventually(10.seconds) { entry.gauge("toucanrelay.entry.waiting") shouldBe 2.0 }
                    val answer = entry.caller.chat()

                    answer.statusCode() shouldBe 429
                    answer.problem shouldBe "too-many-waiting"
                    answer.executed shouldBe "no"
                    answer.headers().firstValue("Retry-After").isPresent shouldBe true
                    agent.announce(free = 4)
                    waiting.forEach { it.get().body() shouldBe "hello" }
                }
            }
        }
    })
