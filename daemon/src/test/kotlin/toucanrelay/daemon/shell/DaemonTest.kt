package toucanrelay.daemon.shell

import io.grpc.BindableService
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.daemon.settings.AgentSettings
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.daemon.settings.OperatorKey
import toucanrelay.standins.PlatformFaults
import toucanrelay.standins.PlatformStandIn
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.httpPlatform
import kotlin.time.Duration.Companion.seconds

class DaemonTest :
    DescribeSpec({
        val vertx = Vertx.vertx()
        val platform = PlatformStandIn(vertx = vertx)
        val operator = OperatorKeyPair.generate("operator-1")
        val signer = BundleSigner(operator.privateKey)
        val loopback = ListenAddress("127.0.0.1", 0)
        lateinit var settings: DaemonSettings

        beforeSpec {
            val port = platform.start()
            settings =
                DaemonSettings(
                    instanceId = "agent-1",
                    region = "east",
                    failureDomain = "east-1",
                    link = loopback,
                    operators = loopback,
                    platformUrl = "http://127.0.0.1:$port",
                    operatorKeys = listOf(OperatorKey("operator-1", operator.publicKey.toBase64())),
                    shutdownLimitMilliseconds = 1_234,
                    agent = AgentSettings("model-1", "http://127.0.0.1:1"),
                )
        }
        beforeSpec {
            val client = httpPlatform(vertx, settings.platformUrl)
            val first = signer.sign(BundleDocument(), BundleVersion(1))
            BundleStore(client).rollOut(first, expected = null).isOk shouldBe true
            client.close()
        }
        afterSpec {
            platform.stop()
            vertx.close().coAwait()
        }

        suspend fun <T> withDaemon(role: FakeRole = FakeRole(), test: suspend (Daemon, OperatorsClient) -> T): T {
            val daemon = Daemon(settings, Composition { role })
            val ports = daemon.start()
            return try {
                test(daemon, OperatorsClient(ports.operators))
            } finally {
                daemon.stop()
            }
        }

        suspend fun withPlatformDown(test: suspend () -> Unit) {
            platform.faults = PlatformFaults(down = true)
            try {
                test()
            } finally {
                platform.faults = PlatformFaults()
            }
        }

        describe("a running daemon") {
            it("serves health, readiness and metrics") {
                withDaemon { _, client ->
                    client.get("/healthz").statusCode() shouldBe 200
                    client.get("/readyz").statusCode() shouldBe 200
                    client.get("/metrics").body() shouldContain "jvm_memory_used_bytes"
                }
            }

            it("is not ready while its role is not ready") {
                withDaemon(FakeRole(ready = false)) { _, client -> client.get("/readyz").statusCode() shouldBe 503 }
            }

            it("reports its role at /status") {
                withDaemon { _, client ->
                    client.get("/status").body() shouldContain "\"role\":\"agent\""
                }
            }

            it("answers 404 with a problem document on an unknown path") {
                withDaemon { _, client ->
                    val answer = client.get("/bundles")
                    answer.statusCode() shouldBe 404
                    answer.headers().firstValue("Content-Type").get() shouldBe "application/problem+json"
                }
            }
        }

        describe("a bundle uploaded at the operators' port") {
            suspend fun <T> withBundleVersionOne(test: suspend (OperatorsClient) -> T) =
                withDaemon { _, client ->
                    eventually(20.seconds) { client.get("/status").body() shouldContain "\"bundleVersion\":1" }
                    test(client)
                }

            fun signed(version: Long) = signer.sign(BundleDocument(), BundleVersion(version)).toJson()

            it("is put in force while the platform is down if a version was confirmed before") {
                withBundleVersionOne { client ->
                    withPlatformDown {
                        client.putBundle(signed(version = 5)).statusCode() shouldBe 204
                        client.get("/status").body() shouldContain "\"bundleVersion\":5"
                    }
                }
            }

            it("is held but not in force if the process has no confirmed version yet") {
                withPlatformDown {
                    withDaemon { _, client ->
                        val answer = client.putBundle(signed(version = 5))
                        answer.statusCode() shouldBe 503
                        answer.body() shouldContain "bundle-not-confirmed"
                        client.get("/status").body() shouldContain "\"heldBundleVersion\":5"
                        client.get("/status").body() shouldNotContain "\"bundleVersion\""
                    }
                }
            }

            it("is refused when its version is not higher") {
                withBundleVersionOne { client ->
                    val answer = client.putBundle(signed(version = 1))
                    answer.statusCode() shouldBe 409
                    answer.body() shouldContain "bundle-not-higher"
                }
            }

            it("is refused when it is signed with an unknown key") {
                val unknownSigner = BundleSigner(OperatorKeyPair.generate("operator-1").privateKey)
                withBundleVersionOne { client ->
                    val forged = unknownSigner.sign(BundleDocument(), BundleVersion(5)).toJson()
                    client.putBundle(forged).statusCode() shouldBe 403
                    client.get("/status").body() shouldContain "\"bundleVersion\":1"
                }
            }

            listOf("", "garbage", "[]", "{}", "{\"version\":\"one\"}", "\u0000\uFFFF").forEach { garbage ->
                it("is refused when it is \"$garbage\"") {
                    withDaemon { _, client ->
                        val answer = client.putBundle(garbage)
                        answer.statusCode() shouldBe 400
                        answer.body() shouldContain "bundle-invalid"
                        client.get("/healthz").statusCode() shouldBe 200
                    }
                }
            }
        }

        describe("stopping") {
            it("reports not ready while running requests drain") {
                val drainEnded = CompletableDeferred<Unit>()
                val role = FakeRole(drainEnded = drainEnded)
                val daemon = Daemon(settings, Composition { role })
                val client = OperatorsClient(daemon.start().operators)
                coroutineScope {
                    val stopping = async { daemon.stop() }
                    role.drainStarted.await() shouldBe 1_234
                    client.get("/readyz").statusCode() shouldBe 503
                    client.get("/status").body() shouldContain "\"stopping\":true"
                    role.isClosed shouldBe false
                    drainEnded.complete(Unit)
                    stopping.await()
                }
                role.isClosed shouldBe true
            }

            it("allows another daemon to start in the same process") {
                repeat(3) { withDaemon { _, client -> client.get("/healthz").statusCode() shouldBe 200 } }
            }
        }

        describe("starting on a port in use") {
            it("fails and closes the started components") {
                withDaemon { _, client ->
                    val role = FakeRole()
                    val conflictingSettings = settings.copy(operators = ListenAddress("127.0.0.1", client.port))

                    runCatching { Daemon(conflictingSettings, Composition { role }).start() }.isFailure shouldBe true

                    role.isClosed shouldBe true
                }
            }
        }
    })

/** A role that does nothing. */
private class FakeRole(
    private val ready: Boolean = true,
    private val drainEnded: CompletableDeferred<Unit> = CompletableDeferred(Unit),
) : Role {
    val drainStarted = CompletableDeferred<Long>()
    var isClosed = false
    override val services = persistentListOf<BindableService>()

    override suspend fun start() = Unit

    override fun isReady(): Boolean = ready

    override suspend fun drain(limitMilliseconds: Long): Int {
        drainStarted.complete(limitMilliseconds)
        drainEnded.await()
        return 0
    }

    override suspend fun close() {
        isClosed = true
    }
}
