package toucanrelay.gateway.body

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield

private const val MAX_PIECES_BEFORE_PAUSE = 400

/** Turns of an event loop that a test takes by hand. */
private class ManualTurns {
    private val actions = ArrayDeque<() -> Unit>()
    val queue = TurnQueue { actions.addLast(it) }

    /** Runs what the last turn has left to be done; returns whether there was anything. */
    fun next(): Boolean {
        val due = actions.toList()
        actions.clear()
        due.forEach { it() }
        return due.isNotEmpty()
    }
}

/** A body whose sender goes on with the same piece as long as it is read. */
private class EndlessSender(
    turns: ManualTurns,
    private val piece: Buffer,
) {
    var isPaused = false
        private set
    val body = IncomingBody({ isPaused = true }, { isPaused = false }, turns.queue)

    /** Sends until reading is paused; returns the number of pieces. */
    fun sendUntilPaused(): Int {
        var pieces = 0
        while (!isPaused) {
            body.add(BodyPart.Bytes(piece))
            pieces++
        }
        return pieces
    }
}

private suspend fun readWhole(body: IncomingBody): String {
    val whole = Buffer.buffer()
    while (true) {
        when (val part = body.next()) {
            is BodyPart.Bytes -> whole.appendBuffer(part.buffer)
            else -> return whole.toString()
        }
    }
}

class IncomingBodyTest :
    DescribeSpec({
        describe("a body that arrives in pieces") {
            it("is the same for its reader however it is divided") {
                checkAll(PropTestConfig(seed = 40), Arb.list(Arb.int(1..3_000), 1..60)) { sizes ->
                    val turns = ManualTurns()
                    val body = IncomingBody({ }, { }, turns.queue)
                    val text = (1..sizes.sum()).joinToString("") { "${it % 10}" }
                    coroutineScope {
                        val read = async(start = CoroutineStart.UNDISPATCHED) { readWhole(body) }
                        var sent = 0
                        sizes.forEach { size ->
                            body.add(BodyPart.Bytes(Buffer.buffer(text.substring(sent, sent + size))))
                            sent += size
                        }
                        body.add(BodyPart.End)
                        while (!read.isCompleted) {
                            turns.next()
                            yield()
                        }
                        read.await() shouldBe text
                    }
                }
            }

            it("gives its bytes before its end, and the end again and again") {
                val body = IncomingBody({ }, { }, ManualTurns().queue)
                body.add(BodyPart.Bytes(Buffer.buffer("a")))
                body.add(BodyPart.Bytes(Buffer.buffer("b")))
                body.add(BodyPart.Broken("reset"))
                body
                    .next()
                    .shouldBeInstanceOf<BodyPart.Bytes>()
                    .buffer
                    .toString() shouldBe "ab"
                repeat(2) { body.next() shouldBe BodyPart.Broken("reset") }
            }
        }

        describe("a sender that sends without end") {
            it("is paused by the number of its pieces too, so that small ones take no more memory than large ones") {
                val sender = EndlessSender(ManualTurns(), Buffer.buffer("x"))
                sender.sendUntilPaused() shouldBeLessThanOrEqual MAX_PIECES_BEFORE_PAUSE
            }

            it("is read on only after a turn of the event loop, although its reader takes all at once") {
                val turns = ManualTurns()
                val sender = EndlessSender(turns, Buffer.buffer("x".repeat(1_000)))
                sender.sendUntilPaused()
                coroutineScope {
                    val reader = launch(start = CoroutineStart.UNDISPATCHED) { sender.body.next() }
                    sender.isPaused shouldBe true
                    turns.next()
                    reader.join()
                    sender.isPaused shouldBe false
                }
            }

            it("takes turns with the others: one of them is read in each turn of the event loop") {
                val turns = ManualTurns()
                val senders = List(4) { EndlessSender(turns, Buffer.buffer("x".repeat(8_192))) }
                val readInTurn = mutableListOf<Int>()
                coroutineScope {
                    val readers =
                        senders.mapIndexed { number, sender ->
                            launch(start = CoroutineStart.UNDISPATCHED) {
                                while (true) {
                                    sender.sendUntilPaused()
                                    sender.body.next()
                                    readInTurn += number
                                }
                            }
                        }
                    repeat(8) { turn ->
                        turns.next()
                        yield()
                        readInTurn.size shouldBe turn + 1
                    }
                    readers.forEach { it.cancel() }
                }
                readInTurn shouldContainExactly listOf(0, 1, 2, 3, 0, 1, 2, 3)
            }

            it("passes over readers that were cancelled while they waited") {
                val turns = ManualTurns()
                val resumed = mutableListOf<Int>()
                coroutineScope {
                    val readers =
                        List(3) { number ->
                            launch(start = CoroutineStart.UNDISPATCHED) {
                                turns.queue.await()
                                resumed += number
                            }
                        }
                    readers[0].cancel()
                    turns.next()
                    yield()
                    resumed shouldContainExactly listOf(1)
                    turns.next()
                }
                resumed shouldContainExactly listOf(1, 2)
            }
        }
    })
