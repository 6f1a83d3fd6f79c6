package toucanrelay.core.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class PrefixResidencyTest :
    DescribeSpec({
        fun parts(vararg ids: String) = ids.map { PromptPart(it, 100) }

        describe("the parts that an engine keeps") {
            it("count only up to the first that is missing") {
                val residency = PrefixResidency(1_000)
                residency.noteRead(parts("a", "b", "c"))
                residency.residentTokens(parts("a", "b", "x", "c")) shouldBe 200
            }

            it("yield to newer ones, the least recently used first") {
                val residency = PrefixResidency(300)
                residency.noteRead(parts("a"))
                residency.noteRead(parts("b"))
                residency.noteRead(parts("c"))
                residency.residentTokens(parts("a")) shouldBe 100
                residency.noteRead(parts("a"))
                residency.noteRead(parts("d"))
                residency.residentTokens(parts("b")) shouldBe 0
                residency.residentTokens(parts("a")) shouldBe 100
            }
        }
    })
