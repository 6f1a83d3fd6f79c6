package toucanrelay.daemon.shell

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.OrganisationDocument
import toucanrelay.store.bundle.ServiceDocument
import toucanrelay.store.bundle.TargetDocument
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest

class EndToEndTest :
    DescribeSpec({
        val fleet = EmbeddedFleet()
        val engine = ModelEngine(vertx = fleet.vertx)
        val service = PlainService(vertx = fleet.vertx)
        val entries = mutableListOf<BoundPorts>()

        beforeSpec {
            withTimeout(60_000) {
                fleet.start()
                fleet.rollOut(document, version = 1)
                val agents =
                    listOf(fleet.startAgent("model-1", engine.start()), fleet.startAgent("drops-1", service.start()))
                entries += listOf(fleet.startEntry("entry-1"), fleet.startEntry("entry-2"))
                (agents + entries).forEach { fleet.awaitReady(it) }
                entries.forEach { awaitLinks(it) }
            }
        }
        afterSpec {
            engine.stop()
            service.stop()
            fleet.stop()
        }

        listOf(0, 1).forEach { index ->
            describe("through entry ${index + 1}") {
                it("an unstreamed answer is relayed completely") {
                    val answer = call(entries[index], chat(streamed = false))

                    answer.statusCode() shouldBe 200
                    answer.body() shouldContain "\"completion_tokens\":12"
                }

                it("a streamed answer is relayed to its end") {
                    val answer = call(entries[index], chat(streamed = true))

                    answer.statusCode() shouldBe 200
                    answer
                        .body()
                        .trim()
                        .lines()
                        .last() shouldBe "data: [DONE]"
                }

                it("the answer of a plain service is relayed unchanged") {
                    val body = "matt finish, 2 tins"
                    val request =
                        HttpRequest
                            .newBuilder(URI("http://127.0.0.1:${entries[index].callers}/services/drops/echo"))
                            .header("Authorization", "Bearer $BEARER_KEY")
                            .header("Idempotency-Key", "drop-$index")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build()

                    client.send(request, HttpResponse.BodyHandlers.ofString()).body() shouldBe body
                }

                it("a request with an unknown key is refused and not executed") {
                    val answer = call(entries[index], chat(streamed = false), key = "unknown")

                    answer.statusCode() shouldBe 401
                    answer.body() shouldContain "\"executed\":\"no\""
                }
            }
        }
    })

private const val BEARER_KEY = "key of the depot"

private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

private val document =
    BundleDocument(
        organisations = mapOf("depot" to OrganisationDocument(share = 1.0, keyDigests = listOf(digest(BEARER_KEY)))),
        targets =
            mapOf(
                "model-1" to TargetDocument("east", "east-1", listOf("advice"), slots = 8, coldSlots = 2),
                "drops-1" to TargetDocument("east", "east-1", listOf("service:drops"), slots = 4, coldSlots = 4),
            ),
        services = mapOf("drops" to ServiceDocument()),
        failureDomains = mapOf("east-1" to FailureDomainDocument("east")),
    )

private fun chat(streamed: Boolean): String =
    """{"model":"advice","max_tokens":12,"stream":$streamed,"messages":[{"role":"user","content":"which floors?"}]}"""

private fun call(entry: BoundPorts, body: String, key: String = BEARER_KEY): HttpResponse<String> =
    client.send(
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:${entry.callers}/v1/chat/completions"))
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString(),
    )

/** Waits until the entry answers a model call and a service call. */
private suspend fun awaitLinks(entry: BoundPorts) {
    while (call(entry, chat(streamed = false)).statusCode() != 200 || getStock(entry).statusCode() != 200) delay(50)
}

private fun getStock(entry: BoundPorts): HttpResponse<String> =
    client.send(
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:${entry.callers}/services/drops/stock"))
            .header("Authorization", "Bearer $BEARER_KEY")
            .GET()
            .build(),
        HttpResponse.BodyHandlers.ofString(),
    )

private fun digest(key: String): String =
    MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }
