package toucanrelay.daemon.shell

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.withTimeout
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlatformFaults
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.TargetDocument
import kotlin.time.Duration.Companion.seconds

class PartitionedRegionTest :
    DescribeSpec({
        val fleet = EmbeddedFleet()
        val engine = ModelEngine(vertx = fleet.vertx)
        val document =
            BundleDocument(
                targets = mapOf("model-1" to TargetDocument("east", "east-1", listOf("advice"), 8, 2)),
                failureDomains = mapOf("east-1" to FailureDomainDocument("east")),
            )
        val domainOutOfService = document.copy(failureDomains = mapOf("east-1" to FailureDomainDocument("east", false)))
        lateinit var entry: BoundPorts
        lateinit var agent: BoundPorts

        beforeSpec {
            withTimeout(60_000) {
                fleet.start()
                fleet.rollOut(document, version = 1)
                agent = fleet.startAgent("model-1", engine.start())
                entry = fleet.startEntry("entry-1")
                listOf(agent, entry).forEach { fleet.awaitReady(it) }
            }
        }
        afterSpec {
            engine.stop()
            fleet.stop()
        }

        describe("a region without access to the platform") {
            it("distributes a bundle that an operator uploads to one of its processes") {
                fleet.platform.faults = PlatformFaults(down = true)
                val signedBundle = fleet.signer.sign(domainOutOfService, BundleVersion(2)).toJson()

                OperatorsClient(entry.operators).putBundle(signedBundle).statusCode() shouldBe 204

                eventually(20.seconds) {
                    OperatorsClient(agent.operators).get("/status").body() shouldContain "\"bundleVersion\":2"
                }
                OperatorsClient(agent.operators).get("/readyz").statusCode() shouldBe 503
            }
        }
    })
