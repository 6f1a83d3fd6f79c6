package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RequestId
import toucanrelay.core.order.ClaimToken
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

class TableOrderDeskTest :
    DescribeSpec({
        val key = OrderKey(OrganisationId("tamworth"), "drops", "drop-17")
        val request = RequestId("request-1")

        describe("an order desk over a table service that answers") {
            fun desk(scope: CoroutineScope, clock: ManualClock, settings: OrderDeskSettings = impatient()) =
                TableOrderDesk(
                    tables = UnreliableTable(Random(1), scope, faultProbability = 0.0),
                    scope = scope,
                    settings = settings,
                    epochClock = clock,
                    monotonicClock = clock,
                )

            it("gives the first outcome to a caller who repeats the order") {
                runBlocking {
                    val desk = desk(this, ManualClock())
                    desk.begin(key, "digest", request).claim().finish(answer("first"))

                    val repeated = desk.begin(key, "digest", request).get() as OrderStart.Finished

                    repeated.answer.body.decodeToString() shouldBe "first"
                }
            }

            it("reports an order that runs as running") {
                runBlocking {
                    val desk = desk(this, ManualClock())
                    desk.begin(key, "digest", request).claim()

                    desk.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_RUNNING
                }
            }

            it("lets an order that was proved not run start anew") {
                runBlocking {
                    val desk = desk(this, ManualClock())
                    desk.begin(key, "digest", request).claim().release()

                    desk.begin(key, "digest", request).claim()
                }
            }

            it("reports a claim whose holder died as unknown, and never hands it out again") {
                runBlocking {
                    val clock = ManualClock()
                    val desk = desk(this, clock)
                    desk.begin(key, "digest", request).claim()
                    clock.advance(impatient().claimLifetimeMilliseconds + 10_000)

                    repeat(2) {
                        desk.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN
                    }
                }
            }

            it("records the answer of a holder that was taken for dead") {
                runBlocking {
                    val clock = ManualClock()
                    val desk = desk(this, clock)
                    val claim = desk.begin(key, "digest", request).claim()
                    clock.advance(impatient().claimLifetimeMilliseconds + 10_000)
                    desk.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN

                    claim.finish(answer("late"))

                    (desk.begin(key, "digest", request).get() as OrderStart.Finished).answer.status shouldBe 200
                }
            }

            it("refuses the same key with another body") {
                runBlocking {
                    val desk = desk(this, ManualClock())
                    desk.begin(key, "digest", request).claim().finish(answer("first"))

                    desk.begin(key, "another digest", request).getError() shouldBe RefusalReason.IDEMPOTENCY_KEY_REUSED
                }
            }

            it("keeps no answer above the size limit and says that the outcome is unknown") {
                runBlocking {
                    val desk = desk(this, ManualClock(), OrderDeskSettings(answerBytes = 3))
                    desk.begin(key, "digest", request).claim().finish(answer("long answer"))

                    desk.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN
                }
            }

            it("refuses beyond its rate of claims") {
                runBlocking {
                    val desk = desk(this, ManualClock(), OrderDeskSettings(claimsPerSecond = 1.0, claimBurst = 1.0))
                    desk.begin(key, "digest", request).claim()

                    desk.begin(key.copy(idempotencyKey = "drop-18"), "digest", request).getError() shouldBe
                        RefusalReason.CLAIM_RATE_EXCEEDED
                }
            }
        }

        describe("an order desk over a table service that is down") {
            it("refuses before anything is sent") {
                runBlocking {
                    val table = UnreliableTable(Random(1), this, faultProbability = 1.0)

                    TableOrderDesk(table, this, impatient()).begin(key, "digest", request).getError() shouldBe
                        RefusalReason.CLAIM_UNAVAILABLE
                }
            }
        }

        describe("entries that crash, race and lose answers") {
            it("send an order to a target once at most and agree on its answer") {
                var runsSeen = 0
                checkAll(PropTestConfig(seed = 4711, iterations = 600), Arb.long()) { seed ->
                    withClue("seed $seed") {
                        val history = runBlocking { OrderHistory(Random(seed)).play(this) }
                        history.runs shouldBeLessThanOrEqual 1
                        history.answers.forEach { it shouldBe "run-1" }
                        history.finalReason?.shouldBeIn(RefusalReason.ORDER_OUTCOME_UNKNOWN)
                        runsSeen += history.runs
                    }
                }
                runsSeen shouldBeGreaterThan 300
            }
        }
    })

private fun impatient() = OrderDeskSettings(claimBurst = 1_000.0, pause = { yield() })

private fun answer(text: String) = RecordedAnswer(200, persistentListOf(), text.encodeToByteArray())

private fun Result<OrderStart, RefusalReason>.claim(): OrderClaim = (get() as OrderStart.Claimed).claim

/** Plays callers who repeat one order at several entries while entries crash and the table service fails. */
private class OrderHistory(
    private val random: Random,
) {
    private val clock = ManualClock()
    private val key = OrderKey(OrganisationId("tamworth"), "drops", "drop-17")
    private var tokens = 0
    val answers = mutableListOf<String>()
    var runs = 0
    var finalReason: RefusalReason? = null

    suspend fun play(network: CoroutineScope): OrderHistory {
        val table = UnreliableTable(random, network, faultProbability = 0.3)
        coroutineScope {
            repeat(ENTRIES) {
                val process = Job(coroutineContext.job)
                val entry = CoroutineScope(coroutineContext + process)
                launch { callRepeatedly(desk(table, entry), entry) }
                launch {
                    repeat(random.nextInt(10, 400)) { yield() }
                    process.cancel()
                }
            }
        }
        network.coroutineContext.job.children
            .toList()
            .joinAll()
        callOnceMore(table, network)
        return this
    }

    private fun desk(table: UnreliableTable, scope: CoroutineScope) =
        TableOrderDesk(table, scope, impatient(), clock, clock) { ClaimToken("token-${++tokens}") }

    private suspend fun callRepeatedly(desk: OrderDesk, entry: CoroutineScope) =
        repeat(CALLS) { call ->
            entry.launch { callOnce(desk, RequestId("request-$call")) }.join()
            if (random.nextInt(4) == 0) clock.advance(200_000)
        }

    private suspend fun callOnce(desk: OrderDesk, request: RequestId) {
        desk.begin(key, "digest", request).get()?.let { act(it) }
    }

    private suspend fun act(start: OrderStart) {
        when (start) {
            is OrderStart.Finished -> answers += start.answer.body.decodeToString()
            is OrderStart.Claimed -> send(start.claim)
        }
    }

    private suspend fun send(claim: OrderClaim) {
        yield()
        when (random.nextInt(5)) {
            0 -> {
                claim.release()
            }

            else -> {
                runs++
                repeat(random.nextInt(20)) { yield() }
                if (random.nextInt(5) == 0) claim.abandon() else claim.finish(answer("run-$runs"))
            }
        }
    }

    private suspend fun callOnceMore(table: UnreliableTable, network: CoroutineScope) {
        table.faultProbability = 0.0
        clock.advance(1_000_000)
        val outcome = desk(table, network).begin(key, "digest", RequestId("last"))
        finalReason = outcome.getError()
        outcome.get()?.let { act(it) }
    }

    private companion object {
        const val ENTRIES = 4
        const val CALLS = 4
    }
}
