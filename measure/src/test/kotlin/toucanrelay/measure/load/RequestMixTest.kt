package toucanrelay.measure.load

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class RequestMixTest :
    DescribeSpec({
        describe("a request mix") {
            val short = RequestKind(weight = 3.0, answerTokens = 1..10)
            val long = RequestKind(weight = 1.0, answerTokens = 100..200)

            it("draws the same requests from the same seed") {
                val mix = RequestMix("advice", listOf(short, long))
                List(20) { mix.draw(Random(3)) } shouldBe List(20) { mix.draw(Random(3)) }
            }

            it("draws kinds by their weight") {
                val mix = RequestMix("advice", listOf(short, long))
                val random = Random(3)
                val part = (1..4_000).count { mix.draw(random).answerTokens >= 100 } / 4_000.0
                part shouldBe (0.25 plusOrMinus 0.03)
            }

            it("draws hints within the configured factors") {
                val mix = RequestMix("advice", listOf(RequestKind(answerTokens = 100..100, hintFactors = 0.1..10.0)))
                val random = Random(3)
                repeat(200) { mix.draw(random).hintTokens shouldBeInRange 10..1_000 }
            }

            it("requires at least one kind of request") {
                shouldThrow<IllegalArgumentException> { RequestMix("advice", emptyList()) }
            }
        }
    })
