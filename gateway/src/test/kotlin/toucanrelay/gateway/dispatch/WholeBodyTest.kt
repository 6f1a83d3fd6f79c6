package toucanrelay.gateway.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.yield
import toucanrelay.gateway.body.AnswerMemory
import toucanrelay.gateway.body.BodyPart
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.gateway.body.TurnQueue

/** A quarter of the heap of the process that the users run. */
private const val MEMORY_BYTES = 27L * 1_024 * 1_024
private const val ENDLESS_ANSWERS = 40
private const val PIECE_BYTES = 8_192
private const val SMALL_ANSWER_BYTES = 65_536

/** More pieces than any answer may have. */
private const val MAX_PIECES = 2_000

class WholeBodyTest :
    DescribeSpec({
        val piece = BodyPart.Bytes(Buffer.buffer(ByteArray(PIECE_BYTES)))

        fun body() = IncomingBody({ }, { }, TurnQueue { it() })

        describe("many answers without end that are kept whole at the same time") {
            it("take no more memory together than there is for them, and leave some for a small one") {
                val memory = AnswerMemory(MEMORY_BYTES)
                val shares = List(ENDLESS_ANSWERS) { memory.newShare() }
                var mostKept = 0L
                coroutineScope {
                    val bodies = List(ENDLESS_ANSWERS) { body() }
                    val reads: List<Deferred<WholeBody>> =
                        bodies.mapIndexed { number, body ->
                            async(start = CoroutineStart.UNDISPATCHED) { WholeBody.read(body, shares[number]) }
                        }
                    repeat(MAX_PIECES) {
                        bodies.forEach { it.add(piece) }
                        yield()
                        mostKept = maxOf(mostKept, memory.keptBytes)
                    }
                    val small = body()
                    repeat(SMALL_ANSWER_BYTES / PIECE_BYTES) { small.add(piece) }
                    small.add(BodyPart.End)
                    val read = WholeBody.read(small, memory.newShare())
                    (read as WholeBody.Complete).bytes.length() shouldBe SMALL_ANSWER_BYTES
                    reads.map { it.await() } shouldContainOnly setOf(WholeBody.TooLarge)
                }
                mostKept shouldBeLessThanOrEqual MEMORY_BYTES
                shares.forEach { it.release() }
                memory.keptBytes shouldBe SMALL_ANSWER_BYTES
            }
        }
    })
