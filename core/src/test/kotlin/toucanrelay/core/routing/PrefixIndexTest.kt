package toucanrelay.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class PrefixIndexTest :
    DescribeSpec({
        describe("a prefix index") {
            it("evicts the oldest prefix and is cleared by a reset") {
                val index = PrefixIndex(capacity = 2)
                index.apply(added = listOf(1, 2, 3), removed = emptyList(), isReset = false)
                listOf(1L in index, 2L in index, 3L in index) shouldBe listOf(false, true, true)
                index.apply(added = listOf(4), removed = listOf(3), isReset = false)
                index.size shouldBe 2
                index.apply(added = listOf(9), removed = emptyList(), isReset = true)
                listOf(2L in index, 9L in index) shouldBe listOf(false, true)
            }
        }
    })
