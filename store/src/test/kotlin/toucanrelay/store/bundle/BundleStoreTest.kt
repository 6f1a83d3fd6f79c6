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
        val rival = BundleSigner(OperatorKeyPair.generate("operator-2").privateKey)
        val first = signer.sign(sampleDocument(), BundleVersion(1))
        val second = signer.sign(sampleDocument(depotShare = 5.0), BundleVersion(2))
        val readBack = ReadBack(attempts = 3, pauseMilliseconds = 0)
        val current = RowKey("bundles", "current")

        suspend fun rolledOut(tables: FaultyTables): BundleStore =
            BundleStore(tables, readBack).also { it.rollOut(first, expected = null) shouldBe Ok(Unit) }

        describe("rolling out") {
            it("puts the first version in force") {
                rolledOut(FaultyTables()).read().get() shouldBe first
            }

            it("puts a higher version in force") {
                val store = rolledOut(FaultyTables())

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)

                store.read().get() shouldBe second
            }

            it("refuses a version that is not higher") {
                val store = rolledOut(FaultyTables())

                val error = store.rollOut(first, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().standing shouldBe BundleVersion(1)
            }

            it("refuses a version made from one that stands no more") {
                val store = rolledOut(FaultyTables())
                store.rollOut(second, expected = BundleVersion(1))

                val late = rival.sign(sampleDocument(depotShare = 6.0), BundleVersion(3))
                val error = store.rollOut(late, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().standing shouldBe BundleVersion(2)
            }
        }

        describe("two operators who race") {
            it("get one winner and one conflict that names the winner") {
                val winning = rival.sign(sampleDocument(depotShare = 6.0), BundleVersion(2))
                var writesToCome = 2
                val tables =
                    FaultyTables { self ->
                        writesToCome -= 1
                        val standing = self.read(current).get()
                        if (writesToCome == 0 && standing != null) {
                            self.apply(current, winning.toJson(), WriteCondition.Unchanged(standing.version))
                        }
                    }
                val store = rolledOut(tables)

                val error = store.rollOut(second, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.Conflict>().standing shouldBe BundleVersion(2)
                store.read().get() shouldBe winning
            }
        }

        describe("an answer that is lost") {
            it("after the write took effect is found out by reading back") {
                val tables = FaultyTables()
                val store = rolledOut(tables)
                tables.writeFaults += Fault.ANSWER_LOST

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)
            }

            it("before the write took effect is followed by writing again") {
                val tables = FaultyTables()
                val store = rolledOut(tables)
                tables.writeFaults += Fault.CALL_LOST

                store.rollOut(second, expected = BundleVersion(1)) shouldBe Ok(Unit)

                store.read().get() shouldBe second
            }

            it("leaves the outcome unknown when nothing can be read back") {
                val tables = FaultyTables()
                val store = rolledOut(tables)
                tables.writeFaults += Fault.ANSWER_LOST
                tables.readFaultsAfterWrite.addAll(List(readBack.attempts) { Fault.REFUSED })

                val error = store.rollOut(second, expected = BundleVersion(1)).getError()

                error.shouldBeInstanceOf<BundleStoreError.OutcomeUnknown>()
            }
        }

        describe("a table service that is down") {
            it("is reported as unreachable, and nothing was written") {
                val tables = FaultyTables()
                val store = rolledOut(tables)
                tables.writeFaults += Fault.REFUSED

                store
                    .rollOut(second, expected = BundleVersion(1))
                    .getError()
                    .shouldBeInstanceOf<BundleStoreError.Unreachable>()

                store.read().get() shouldBe first
            }
        }

        describe("a row that holds something else") {
            it("is reported as unreadable") {
                val tables = FaultyTables()
                tables.apply(current, "tins", WriteCondition.Absent)

                BundleStore(tables, readBack).read().getError().shouldBeInstanceOf<BundleStoreError.Unreadable>()
            }
        }

        describe("whatever faults come") {
            it("the answer agrees with what stands") {
                checkAll(
                    PropTestConfig(seed = 412, iterations = 400),
                    Arb.list(Arb.enum<Fault>(), 0..4),
                    Arb.list(Arb.enum<Fault>(), 0..4),
                ) { writeFaults, readFaults ->
                    val tables = FaultyTables()
                    val store = rolledOut(tables)
                    tables.writeFaults.addAll(writeFaults)
                    tables.readFaults.addAll(readFaults)

                    val outcome = store.rollOut(second, expected = BundleVersion(1))

                    tables.readFaults.clear()
                    val stands = store.read().get()
                    if (outcome.isOk) stands shouldBe second
                    if (outcome.getError() is BundleStoreError.Unreachable) stands shouldBe first
                    if (outcome.getError() is BundleStoreError.Conflict) stands shouldBe first
                }
            }
        }
    })
