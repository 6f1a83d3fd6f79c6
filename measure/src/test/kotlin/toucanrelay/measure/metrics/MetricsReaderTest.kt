package toucanrelay.measure.metrics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val RETRIES = "toucanrelay_retries_total"

class MetricsReaderTest :
    DescribeSpec({
        describe("parsing a metrics line") {
            it("returns the count with its reason") {
                MetricsReader.parse(RETRIES, """toucanrelay_retries_total{reason="not-run"} 12.0""") shouldBe
                    ReasonCount("not-run", 12)
            }

            it("finds the reason among other tags") {
                val line = """toucanrelay_retries_total{role="entry",reason="not-run",zone="a"} 1.0E3"""
                MetricsReader.parse(RETRIES, line) shouldBe ReasonCount("not-run", 1_000)
            }

            listOf(
                "a comment" to "# TYPE toucanrelay_retries_total counter",
                "another counter" to """toucanrelay_refusals_total{reason="no-target"} 1.0""",
                "a counter without a reason" to "toucanrelay_retries_total 1.0",
            ).forEach { (what, line) ->
                it("ignores $what") {
                    MetricsReader.parse(RETRIES, line) shouldBe null
                }
            }
        }
    })
