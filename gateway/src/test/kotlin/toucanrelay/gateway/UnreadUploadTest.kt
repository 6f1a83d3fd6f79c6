package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** More than the socket's buffers of both ends hold. */
private const val UPLOAD_BYTES = 4_000_000
private const val PART_BYTES = 200_000
private const val REPETITIONS = 5

private fun head(id: String, more: String = "", status: String = "200 OK") =
    "HTTP/1.1 $status\r\nX-Request-Id: $id\r\nX-Response-Seal: seal\r\n$more\r\n"

/** Guards against a part of an answer, which its target broke off during a long upload, passed on as a whole one. */
class UnreadUploadTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var target: UnreadUploadTarget

        suspend fun start(readBytes: Int, end: UnreadEnd, answer: (id: String) -> String) {
            fixture = GatewayFixture()
            fixture.maxBodyBytes = UPLOAD_BYTES
            fixture.start()
            target = UnreadUploadTarget(readBytes, end, answer)
            target.start()
            val original = fixture.targets.first()
            val registration = original.registration("models", "domain")
            val address = registration.replace("$LOOPBACK:${original.port}", "$LOOPBACK:${target.port}")
            fixture.store.putRegistration("unread", address)
            fixture.targets.forEach { fixture.store.putRegistration(it.id, null) }
            fixture.eventually {
                fixture.runCatching { send(UnreadUploadTarget.PROBE_PATH) }
                target.received.isNotEmpty()
            }
        }

        suspend fun upload() = fixture.send("/orders/x", body = "u".repeat(UPLOAD_BYTES))

        afterEach {
            fixture.kill()
            target.stop()
        }

        describe("an answer that ends with its connection, which its target resets during the upload") {
            listOf(UnreadEnd.RESET, UnreadEnd.END_THEN_RESET).forEach { end ->
                listOf(0, PART_BYTES).forEach { readBytes ->
                    listOf(0, PART_BYTES).forEach { partBytes ->
                        it("never is whole: $end after $readBytes bytes of the upload, $partBytes of the answer") {
                            start(readBytes, end) { head(it) + "p".repeat(partBytes) }
                            repeat(REPETITIONS) { upload().status shouldBe 502 }
                        }
                    }
                }
            }
        }

        describe("an answer that can have no body, whose target has not read the upload") {
            UnreadEnd.entries.forEach { end ->
                it("is whole once its head has arrived: $end") {
                    start(0, end) { head(it, status = "204 No Content") }
                    upload().status shouldBe 204
                }
            }
        }

        describe("an answer of a stated length, whose target has not read the upload") {
            UnreadEnd.entries.forEach { end ->
                it("is whole once it has arrived: $end") {
                    start(0, end) { head(it, "Content-Length: 5\r\n") + "whole" }
                    val answer = upload()
                    answer.status shouldBe 200
                    answer.body shouldBe "whole"
                }
            }
        }
    })
