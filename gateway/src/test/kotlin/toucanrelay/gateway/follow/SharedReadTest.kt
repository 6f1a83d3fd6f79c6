package toucanrelay.gateway.follow

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.yield

/** Guards against an answer from a read that began before the question, which lacks what was written in between. */
class SharedReadTest :
    DescribeSpec({
        describe("reads that several wait for") {
            it("begin after each of them has asked, one at a time") {
                coroutineScope {
                    val reads = mutableListOf<CompletableDeferred<Boolean>>()
                    val shared = SharedRead(this) { CompletableDeferred<Boolean>().also { reads += it }.await() }
                    val first = async { shared.await() }
                    repeat(3) { yield() }
                    val later = List(2) { async { shared.await() } }
                    repeat(3) { yield() }
                    reads.size shouldBe 1
                    reads[0].complete(false)
                    first.await() shouldBe false
                    repeat(3) { yield() }
                    reads.size shouldBe 2
                    reads[1].complete(true)
                    later.map { it.await() } shouldBe listOf(true, true)
                }
            }

            it("go on for the others if one that waits is cancelled") {
                coroutineScope {
                    val read = CompletableDeferred<Boolean>()
                    val shared = SharedRead(this) { read.await() }
                    val left = async { shared.await() }
                    val other = async { shared.await() }
                    repeat(3) { yield() }
                    left.cancel()
                    read.complete(true)
                    other.await() shouldBe true
                }
            }
        }
    })
