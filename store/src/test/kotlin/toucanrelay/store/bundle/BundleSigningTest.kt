package toucanrelay.store.bundle

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import toucanrelay.core.bundle.BundleVersion

@OptIn(ExperimentalKotest::class)
class BundleSigningTest :
    DescribeSpec({
        val operator = OperatorKeyPair.generate("operator-1")
        val signer = BundleSigner(operator.privateKey)
        val verifier = BundleVerifier(listOf(operator.publicKey))
        val signed = signer.sign(sampleDocument(), BundleVersion(3))

        describe("a verifier") {
            it("accepts a bundle that a known operator signed") {
                verifier.verify(signed).get() shouldBe sampleDocument().toBundle(BundleVersion(3))
            }

            it("accepts a signed bundle parsed from its JSON text") {
                SignedBundle.parse(signed.toJson()).get()?.let { verifier.verify(it).get() } shouldBe
                    sampleDocument().toBundle(BundleVersion(3))
            }

            it("rejects a document with a version other than the signed one") {
                verifier.verify(signed.copy(version = BundleVersion(4))).getError() shouldBe
                    BundleError.WrongSignature("operator-1")
            }

            it("rejects a changed document") {
                val changed = signed.copy(document = sampleDocument(depotShare = 5.0).toJson())

                verifier.verify(changed).getError() shouldBe BundleError.WrongSignature("operator-1")
            }

            it("rejects a signature by another key with a known name") {
                val impostor = OperatorKeyPair.generate("operator-1")
                val forged = BundleSigner(impostor.privateKey).sign(sampleDocument(), BundleVersion(4))

                verifier.verify(forged).getError() shouldBe BundleError.WrongSignature("operator-1")
            }

            it("rejects a signature by an unknown key") {
                val unknownOperator = OperatorKeyPair.generate("stranger")
                val foreign = BundleSigner(unknownOperator.privateKey).sign(sampleDocument(), BundleVersion(4))

                verifier.verify(foreign).getError() shouldBe BundleError.UnknownKey("stranger")
            }

            it("rejects a signature that is not base 64") {
                verifier.verify(signed.copy(signature = "?")).getError() shouldBe
                    BundleError.WrongSignature("operator-1")
            }

            it("rejects a signed document that is invalid") {
                val invalid = signer.sign(sampleDocument(depotShare = -1.0), BundleVersion(4))

                verifier.verify(invalid).getError().shouldBeInstanceOf<BundleError.Invalid>()
            }
        }

        describe("a patch between signed bundles") {
            it("results in a bundle that verifies if applied to its base") {
                checkAll(PropTestConfig(seed = 8_700, iterations = 50), Arb.numericDouble(0.1, 100.0)) { share ->
                    val next = signer.sign(sampleDocument(share), BundleVersion(4))

                    verifier.verify(BundlePatch.between(signed, next).applyTo(signed)).get() shouldBe
                        sampleDocument(share).toBundle(BundleVersion(4))
                }
            }

            it("results in a bundle that does not verify if applied to another base") {
                val next = signer.sign(sampleDocument(depotShare = 5.0), BundleVersion(4))
                val other = signed.copy(document = BundleDocument().toJson())

                verifier.verify(BundlePatch.between(signed, next).applyTo(other)).getError() shouldBe
                    BundleError.WrongSignature("operator-1")
            }
        }

        describe("a key") {
            it("is decoded from its encoding") {
                val decoded = OperatorPrivateKey.ofBase64("operator-1", operator.privateKey.toBase64()).get()!!

                BundleSigner(decoded).sign(sampleDocument(), BundleVersion(3)) shouldBe signed
            }

            listOf("", "?", "AAAA").forEach { encoded ->
                it("is rejected if its encoding is \"$encoded\"") {
                    OperatorPublicKey.ofBase64("operator-1", encoded).getError().shouldBeInstanceOf<KeyError>()
                }
            }
        }
    })
