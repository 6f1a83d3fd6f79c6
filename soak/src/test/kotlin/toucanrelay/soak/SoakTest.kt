package toucanrelay.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Seeds as in `1-3,17`. */
private fun seedsOf(text: String): List<Long> =
    text.split(',').flatMap { part ->
        val ends = part.split('-').map { it.trim().toLong() }
        (ends.first()..ends.last()).toList()
    }

class SoakTest :
    DescribeSpec({
        describe("gateways under faults from outside") {
            seedsOf(System.getProperty("soak.seeds") ?: "1").forEach { seed ->
                it("keep their promises with seed $seed") {
                    SoakRun(seed).run().shouldBeEmpty()
                }
            }
        }
    })
