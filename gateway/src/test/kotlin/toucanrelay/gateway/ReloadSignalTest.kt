package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ReloadSignalTest :
    DescribeSpec({
        // Guards against a signal that is lost, since it comes before there is a gateway that could reload.
        describe("signals that arrive before anything can be reloaded") {
            it("cause one reload as soon as it can be") {
                val signal = ReloadSignal()
                var reloads = 0
                repeat(2) { signal.receive() }
                signal.deliverTo { reloads++ }
                reloads shouldBe 1
            }
        }

        describe("signals that arrive later") {
            it("cause a reload each") {
                val signal = ReloadSignal()
                var reloads = 0
                signal.deliverTo { reloads++ }
                reloads shouldBe 0
                repeat(2) { signal.receive() }
                reloads shouldBe 2
            }
        }
    })
