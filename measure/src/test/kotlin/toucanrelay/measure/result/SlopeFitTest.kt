package toucanrelay.measure.result

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class SlopeFitTest :
    DescribeSpec({
        describe("a slope") {
            it("matches the line through its points") {
                val slope =
                    fitSlope("bytes", "entries", "B/s", listOf(2.0, 4.0, 8.0).map { SlopePoint(it, 3 * it + 5) })
                slope.perUnit shouldBe (3.0 plusOrMinus 1e-9)
                slope.intercept shouldBe (5.0 plusOrMinus 1e-9)
            }

            it("requires two distinct sizes") {
                shouldThrow<IllegalArgumentException> {
                    fitSlope(
                        "bytes",
                        "entries",
                        "B/s",
                        listOf(SlopePoint(1.0, 1.0)),
                    )
                }
            }
        }

        describe("a result") {
            val result =
                ScenarioResult(
                    scenario = "fairness",
                    settings = ScenarioSettings(),
                    figures = listOf(Figure("widest gap", 1234.5, "units")),
                    target = "at most 2,000 units",
                    withinTarget = true,
                )

            it("renders figures and verdict as text") {
                val table = ResultTable.render(result)
                table shouldContain "widest gap  1,234.5 units"
                table shouldContain "within target: yes"
            }

            it("renders settings and verdict as JSON") {
                result.toJson() shouldContain "\"withinTarget\": true"
                result.toJson() shouldContain "\"seed\": 1"
            }
        }
    })
