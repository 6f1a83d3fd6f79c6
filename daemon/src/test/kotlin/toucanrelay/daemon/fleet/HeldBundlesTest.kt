package toucanrelay.daemon.fleet

import com.google.protobuf.ByteString
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.time.ManualClock
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.bundle.SignedBundle
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat

class HeldBundlesTest :
    DescribeSpec({
        val keys = OperatorKeyPair.generate("operator")
        val clock = ManualClock()

        fun sign(version: Long, share: Double = 4.0, by: OperatorKeyPair = keys): SignedBundle =
            BundleSigner(by.privateKey).sign(sampleDocument(depotShare = share), BundleVersion(version))

        fun process() =
            HeldBundles(clock, BundleVerifier(listOf(keys.publicKey)), SimpleMeterRegistry()).also { it.markReady() }

        fun heartbeatOf(version: Long, ago: Long): Heartbeat =
            Heartbeat
                .newBuilder()
                .setBundleVersion(version)
                .setBundleConfirmedAgoMilliseconds(ago)
                .build()

        fun wanted(held: Long): BundleWanted = BundleWanted.newBuilder().setHeldVersion(held).build()

        describe("a process that holds no bundle") {
            it("requests a version that several peers announce from only one of them, and a higher one immediately") {
                val process = process()

                process.receiveHeartbeat(heartbeatOf(3, ago = 10))?.heldVersion shouldBe 0
                process.receiveHeartbeat(heartbeatOf(3, ago = 10)) shouldBe null
                process.receiveHeartbeat(heartbeatOf(4, ago = 10))?.heldVersion shouldBe 0
            }

            it("requests a version again when no response arrives within a second") {
                val process = process()
                process.receiveHeartbeat(heartbeatOf(3, ago = 10))
                clock.advance(1_000)

                process.receiveHeartbeat(heartbeatOf(3, ago = 10))?.heldVersion shouldBe 0
            }

            it("puts a bundle in force when the version of a peer is confirmed, but not when it is unconfirmed") {
                val peer = process().also { it.acceptFromTable(sign(3)) }
                val unconfirmed = process()
                val confirmed = process()
                unconfirmed.receiveHeartbeat(heartbeatOf(3, ago = -1))
                confirmed.receiveHeartbeat(peer.heartbeat(1, 0))

                unconfirmed.receiveUpdate(peer.updateFor(wanted(0))!!)
                confirmed.receiveUpdate(peer.updateFor(wanted(0))!!)

                unconfirmed.inForce() shouldBe null
                unconfirmed.heartbeat(1, 0).bundleConfirmedAgoMilliseconds shouldBe -1
                confirmed.inForce()?.version shouldBe BundleVersion(3)
            }
        }

        describe("a process that holds a version") {
            fun holding(version: Long) = process().also { it.acceptFromTable(sign(version)) }

            it("sends a later version as a patch that is smaller than the whole bundle") {
                val peer = holding(3).also { it.acceptFromTable(sign(4, share = 5.0)) }
                val process = holding(3)

                val patch = peer.updateFor(wanted(3))!!
                process.receiveUpdate(patch)

                patch.baseVersion shouldBe 3
                patch.document.size() shouldBeLessThan peer.updateFor(wanted(0))!!.document.size()
                process.inForce()?.version shouldBe BundleVersion(4)
            }

            it("rejects a bundle signed by an unknown operator and an update that was modified in transit") {
                val process = holding(3)
                val unknownOperator = OperatorKeyPair.generate("stranger")
                val peer = holding(3).also { it.acceptFromTable(sign(5)) }
                val update = peer.updateFor(wanted(0))!!

                process.acceptFromTable(sign(4, by = unknownOperator))
                process.receiveUpdate(update.toBuilder().setVersion(6).build())
                process.receiveUpdate(update.toBuilder().setDocument(ByteString.copyFromUtf8("no gzip")).build())
                process.receiveUpdate(update.toBuilder().setBaseVersion(2).build())

                process.inForce()?.version shouldBe BundleVersion(3)
            }

            it("is confirmed by a row of the table service only if a known operator signed it") {
                val process = process()
                process.receiveUpdate(holding(3).updateFor(wanted(0))!!)

                process.acceptFromTable(sign(3, by = OperatorKeyPair.generate("stranger")))
                process.inForce() shouldBe null

                process.acceptFromTable(sign(3))
                process.inForce()?.version shouldBe BundleVersion(3)
            }

            it("never returns to a lower version") {
                val process = holding(5)

                process.acceptFromTable(sign(4))
                process.receiveUpdate(holding(4).updateFor(wanted(0))!!)

                process.inForce()?.version shouldBe BundleVersion(5)
            }

            it("accepts a higher version directly from an operator") {
                val process = holding(3)

                process.acceptFromOperator(sign(4))

                process.inForce()?.version shouldBe BundleVersion(4)
            }
        }
    })
