package toucanrelay.measure.scenario

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private val small = ScenarioSettings(seed = 3, seconds = 6, entries = 2, targets = 3, organisations = 2)

private fun ScenarioResult.figure(name: String): Double = figures.first { it.name == name }.value

class ScenarioTest :
    DescribeSpec({
        describe("the scenarios") {
            it("are found by name") {
                Scenarios.named("bundle") shouldContainExactly listOf(BundleScenario)
                Scenarios.named("all") shouldBe Scenarios.all
                Scenarios.named("absent").shouldBeEmpty()
            }

            it("take a failure domain out and bring it back without cutting a request") {
                val result = FailureDomainMoveScenario.run(small.copy(seconds = 12))
                result.figure("cut requests") shouldBe 0.0
                result.figure("organisation-1 while it is out") shouldBeGreaterThan 0.0
                // The required limit for the last new work is 3 s.
                (result.figure("last new work after take-out") <= 3.0) shouldBe true
            }

            it("find no order that ran twice or was wrongly reported as not run while the store failed") {
                val result = StoreOutageScenario.run(small)
                result.figure("orders that succeeded") shouldBeGreaterThan 0.0
                result.figure("orders run twice") shouldBe 0.0
                result.figure("orders run although refused as not run") shouldBe 0.0
                result.figure("orders not run although answered") shouldBe 0.0
            }
        }
    })
