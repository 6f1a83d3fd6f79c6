package toucanrelay.core.queue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.identity.OrganisationId

class VirtualTimesTest :
    DescribeSpec({
        val mill = OrganisationId("mill")
        val depot = OrganisationId("depot")

        describe("virtual times") {
            it("grow with the service divided by the share") {
                val times = VirtualTimes()
                times.activate(mill)
                times.charge(mill, units = 30.0, share = 3.0)
                times.timeOf(mill) shouldBe 10.0
            }

            it("give no credit to an organisation that was idle") {
                checkAll(
                    PropTestConfig(seed = 4104, iterations = 200),
                    Arb.int(1..10_000),
                    Arb.int(0..10_000),
                ) { before, after ->
                    val times = VirtualTimes()
                    times.activate(mill)
                    times.charge(mill, before.toDouble(), share = 1.0)
                    times.activate(depot)
                    times.timeOf(depot) shouldBeGreaterThanOrEqual times.timeOf(mill)
                    times.charge(mill, after.toDouble(), share = 1.0)
                    times.deactivate(depot)
                    times.deactivate(mill)
                    times.activate(depot)
                    times.timeOf(depot) shouldBeGreaterThanOrEqual times.timeOf(mill)
                }
            }
        }
    })
