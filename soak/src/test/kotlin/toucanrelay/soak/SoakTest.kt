package toucanrelay.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Parses a list of seeds and ranges such as `1-3,17`. */
private fun parseSeeds(text: String): List<Long> =
    text.split(',').flatMap { part ->
        val ends = part.split('-').map { it.trim().toLong() }
        (ends.first()..ends.last()).toList()
    }

class SoakTest :
    DescribeSpec({
        describe("gateways under injected faults") {
            parseSeeds(System.getProperty("soak.seeds") ?: "1").forEach { seed ->
                it("uphold their guarantees with seed $seed") {
                    SoakRun(seed).run().shouldBeEmpty()
                }
            }
        }
    })
