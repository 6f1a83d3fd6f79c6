package toucanrelay.store.bundle

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.WriteCondition

@OptIn(ExperimentalKotest::class)
class BundleStoreTest :
    DescribeSpec({
        val signer = BundleSigner(OperatorKeyPair.generate("operator-1").privateKey)
        val otherSigner = BundleSigner(OperatorKeyPair.generate("operator-2").privateKey)
        val first = signer.sign(sampleDocument(), BundleVersion(1))
        val second = signer.sign(sampleDocument(depotShare = 5.0), BundleVersion(2))
        val readBackPolicy = ReadBackPolicy(attempts = 3, pauseMilliseconds = 0)
        val currentRow = RowKey("bundles", "current")

        suspend fun storeWithFirstVersion(tables: FaultyTables): BundleStore =
            BundleStore(tables, readBackPolicy).also { it.rollOut(first, expected = null) shouldBe Ok(Unit) }

        describe("rolling out") {
            it("puts the first version in force") {
                storeWithFirstVersion(FaultyTables()).read().get() shouldBe first
            }

            it("puts a higher version in force") {
                val store = storeWithFirstVersion(FaultyTables())

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)

                store.read().get() shouldBe second
            }

            it("refuses a version that is not higher") {
                val store = storeWithFirstVersion(FaultyTables())

                val error = store.rollOut(first, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().current shouldBe BundleVersion(1)
            }

            it("refuses a version based on one that is no longer in force") {
                val store = storeWithFirstVersion(FaultyTables())
                store.rollOut(second, expected = BundleVersion(1))

                val outdated = otherSigner.sign(sampleDocument(depotShare = 6.0), BundleVersion(3))
                val error = store.rollOut(outdated, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().current shouldBe BundleVersion(2)
            }
        }

        describe("two concurrent roll-outs") {
            it("result in one success and one conflict that states the version in force") {
                val concurrent = otherSigner.sign(sampleDocument(depotShare = 6.0), BundleVersion(2))
                var remainingWrites = 2
                val tables =
                    FaultyTables { self ->
                        remainingWrites -= 1
                        val stored = self.read(currentRow).get()
                        if (remainingWrites == 0 && stored != null) {
                            self.apply(currentRow, concurrent.toJson(), WriteCondition.Unchanged(stored.version))
                        }
                    }
                val store = storeWithFirstVersion(tables)

                val error = store.rollOut(second, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().current shouldBe BundleVersion(2)
                store.read().get() shouldBe concurrent
            }
        }

        describe("a lost response") {
            it("of a write that took effect is resolved by reading back") {
                val tables = FaultyTables()
                val store = storeWithFirstVersion(tables)
                tables.writeFaults += Fault.RESPONSE_LOST

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)
            }

            it("of a write that did not take effect is followed by another write") {
                val tables = FaultyTables()
                val store = storeWithFirstVersion(tables)
                tables.writeFaults += Fault.REQUEST_LOST

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)

                store.read().get() shouldBe second
            }

            it("leaves the outcome unknown if the row cannot be read back") {
                val tables = FaultyTables()
                val store = storeWithFirstVersion(tables)
                tables.writeFaults += Fault.RESPONSE_LOST
                tables.readFaultsAfterWrite.addAll(List(readBackPolicy.attempts) { Fault.REFUSED })

                val error = store.rollOut(second, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.OutcomeUnknown>()
            }
        }

        describe("a table service that refuses calls") {
            it("is reported as unreachable, and nothing is written") {
                val tables = FaultyTables()
                val store = storeWithFirstVersion(tables)
                tables.writeFaults += Fault.REFUSED

                store
                    .rollOut(second, expected = BundleVersion(1))
                    .getError()
                    .shouldBeInstanceOf<BundleStoreError.Unreachable>()

                store.read().get() shouldBe first
            }
        }

        describe("a row that is not a signed bundle") {
            it("is reported as unreadable") {
                val tables = FaultyTables()
                tables.apply(currentRow, "tins", WriteCondition.Absent)

                BundleStore(tables, readBackPolicy).read().getError().shouldBeInstanceOf<BundleStoreError.Unreadable>()
            }
        }

        describe("any sequence of faults") {
            it("gives a result that agrees with the stored bundle") {
                checkAll(
                    PropTestConfig(seed = 412, iterations = 400),
                    Arb.list(Arb.enum<Fault>(), 0..4),
                    Arb.list(Arb.enum<Fault>(), 0..4),
                ) { writeFaults, readFaults ->
                    val tables = FaultyTables()
                    val store = storeWithFirstVersion(tables)
                    tables.writeFaults.addAll(writeFaults)
                    tables.readFaults.addAll(readFaults)

                    val outcome = store.rollOut(second, expected = BundleVersion(1))

                    tables.readFaults.clear()
                    val stored = store.read().get()
                    if (outcome.isOk) stored shouldBe second
                    if (outcome.getError() is BundleStoreError.Unreachable) stored shouldBe first
                    if (outcome.getError() is BundleStoreError.Conflict) stored shouldBe first
                }
            }
        }
    })
