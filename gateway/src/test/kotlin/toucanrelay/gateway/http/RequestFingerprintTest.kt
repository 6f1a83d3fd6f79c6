package toucanrelay.gateway.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer

class RequestFingerprintTest :
    DescribeSpec({
        fun fingerprint(
            account: String = "one",
            method: String = "POST",
            host: String = "callers.example",
            uri: String = "/chats/x?a=1",
            body: String = "body",
        ) = RequestFingerprint.of(account, method, host, uri, Buffer.buffer(body))

        describe("the fingerprint of a request") {
            it("is the same for each repetition") {
                fingerprint() shouldBe fingerprint()
            }

            it("differs with the caller, the method, the host, the path, the query and the body") {
                val others =
                    listOf(
                        fingerprint(account = "two"),
                        fingerprint(method = "PUT"),
                        fingerprint(host = "other.example"),
                        fingerprint(uri = "/chats/y?a=1"),
                        fingerprint(uri = "/chats/x?a=2"),
                        fingerprint(body = "bodz"),
                        fingerprint(body = ""),
                    )
                (others + fingerprint()).distinct().size shouldBe others.size + 1
            }
        }
    })
