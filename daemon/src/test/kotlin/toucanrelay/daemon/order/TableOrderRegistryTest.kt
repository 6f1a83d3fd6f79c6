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

class TableOrderRegistryTest :
    DescribeSpec({
        val key = OrderKey(OrganisationId("tamworth"), "drops", "drop-17")
        val request = RequestId("request-1")

        describe("TableOrderRegistry with a working table service") {
            fun registry(scope: CoroutineScope, clock: ManualClock, settings: OrderRegistrySettings = withoutDelay()) =
                TableOrderRegistry(
                    tables = UnreliableTable(Random(1), scope, faultProbability = 0.0),
                    scope = scope,
                    settings = settings,
                    epochClock = clock,
                    monotonicClock = clock,
                )

            it("returns the recorded answer to a caller who repeats the order") {
                runBlocking {
                    val registry = registry(this, ManualClock())
                    registry.begin(key, "digest", request).claim().finish(answer("first"))

                    val repeated = registry.begin(key, "digest", request).get() as OrderStart.Finished

                    repeated.answer.body.decodeToString() shouldBe "first"
                }
            }

            it("refuses an order that is running") {
                runBlocking {
                    val registry = registry(this, ManualClock())
                    registry.begin(key, "digest", request).claim()

                    registry.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_RUNNING
                }
            }

            it("allows a new claim of an order whose claim was released") {
                runBlocking {
                    val registry = registry(this, ManualClock())
                    registry.begin(key, "digest", request).claim().release()

                    registry.begin(key, "digest", request).claim()
                }
            }

            it("reports an expired claim as unknown and never grants it again") {
                runBlocking {
                    val clock = ManualClock()
                    val registry = registry(this, clock)
                    registry.begin(key, "digest", request).claim()
                    clock.advance(withoutDelay().claimLifetimeMilliseconds + 10_000)

                    repeat(2) {
                        registry.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN
                    }
                }
            }

            it("records a late answer from the holder of an expired claim") {
                runBlocking {
                    val clock = ManualClock()
                    val registry = registry(this, clock)
                    val claim = registry.begin(key, "digest", request).claim()
                    clock.advance(withoutDelay().claimLifetimeMilliseconds + 10_000)
                    registry.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN

                    claim.finish(answer("late"))

                    (registry.begin(key, "digest", request).get() as OrderStart.Finished).answer.status shouldBe 200
                }
            }

            it("refuses the same key with another body") {
                runBlocking {
                    val registry = registry(this, ManualClock())
                    registry.begin(key, "digest", request).claim().finish(answer("first"))

                    registry.begin(key, "another digest", request).getError() shouldBe
                        RefusalReason.IDEMPOTENCY_KEY_REUSED
                }
            }

            it("reports the outcome as unknown when the answer exceeds the size limit") {
                runBlocking {
                    val registry = registry(this, ManualClock(), OrderRegistrySettings(maxAnswerBytes = 3))
                    registry.begin(key, "digest", request).claim().finish(answer("long answer"))

                    registry.begin(key, "digest", request).getError() shouldBe RefusalReason.ORDER_OUTCOME_UNKNOWN
                }
            }

            it("refuses claims above the claim rate") {
                runBlocking {
                    val registry =
                        registry(this, ManualClock(), OrderRegistrySettings(claimsPerSecond = 1.0, claimBurst = 1.0))
                    registry.begin(key, "digest", request).claim()

                    registry.begin(key.copy(idempotencyKey = "drop-18"), "digest", request).getError() shouldBe
                        RefusalReason.CLAIM_RATE_EXCEEDED
                }
            }
        }

        describe("TableOrderRegistry with a table service that is down") {
            it("refuses the order before it is sent") {
                runBlocking {
                    val table = UnreliableTable(Random(1), this, faultProbability = 1.0)

                    TableOrderRegistry(table, this, withoutDelay()).begin(key, "digest", request).getError() shouldBe
                        RefusalReason.CLAIM_UNAVAILABLE
                }
            }
        }

        describe("entries that crash, race and lose responses") {
            it("send an order to a target at most once and agree on its answer") {
                var totalRuns = 0
                checkAll(PropTestConfig(seed = 4711, iterations = 600), Arb.long()) { seed ->
                    withClue("seed $seed") {
                        val simulation = runBlocking { OrderSimulation(Random(seed)).run(this) }
                        simulation.runs shouldBeLessThanOrEqual 1
                        simulation.answers.forEach { it shouldBe "run-1" }
                        simulation.finalReason?.shouldBeIn(RefusalReason.ORDER_OUTCOME_UNKNOWN)
                        totalRuns += simulation.runs
                    }
                }
                totalRuns shouldBeGreaterThan 300
            }
        }
    })

private fun withoutDelay() = OrderRegistrySettings(claimBurst = 1_000.0, backoff = { yield() })

private fun answer(text: String) = RecordedAnswer(200, persistentListOf(), text.encodeToByteArray())

private fun Result<OrderStart, RefusalReason>.claim(): OrderClaim = (get() as OrderStart.Claimed).claim

/** Simulates callers who repeat one order at several entries while entries crash and the table service fails. */
private class OrderSimulation(
    private val random: Random,
) {
    private val clock = ManualClock()
    private val key = OrderKey(OrganisationId("tamworth"), "drops", "drop-17")
    private var tokens = 0
    val answers = mutableListOf<String>()
    var runs = 0
    var finalReason: RefusalReason? = null

    suspend fun run(network: CoroutineScope): OrderSimulation {
        val table = UnreliableTable(random, network, faultProbability = 0.3)
        coroutineScope {
            repeat(ENTRIES) {
                val process = Job(coroutineContext.job)
                val entry = CoroutineScope(coroutineContext + process)
                launch { callRepeatedly(registry(table, entry), entry) }
                launch {
                    repeat(random.nextInt(10, 400)) { yield() }
                    process.cancel()
                }
            }
        }
        network.coroutineContext.job.children
            .toList()
            .joinAll()
        callAfterRecovery(table, network)
        return this
    }

    private fun registry(table: UnreliableTable, scope: CoroutineScope) =
        TableOrderRegistry(table, scope, withoutDelay(), clock, clock) { ClaimToken("token-${++tokens}") }

    private suspend fun callRepeatedly(registry: OrderRegistry, entry: CoroutineScope) =
        repeat(CALLS) { call ->
            entry.launch { callOnce(registry, RequestId("request-$call")) }.join()
            if (random.nextInt(4) == 0) clock.advance(200_000)
        }

    private suspend fun callOnce(registry: OrderRegistry, request: RequestId) {
        registry.begin(key, "digest", request).get()?.let { handle(it) }
    }

    private suspend fun handle(start: OrderStart) {
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

    private suspend fun callAfterRecovery(table: UnreliableTable, network: CoroutineScope) {
        table.faultProbability = 0.0
        clock.advance(1_000_000)
        val outcome = registry(table, network).begin(key, "digest", RequestId("last"))
        finalReason = outcome.getError()
        outcome.get()?.let { handle(it) }
    }

    private companion object {
        const val ENTRIES = 4
        const val CALLS = 4
    }
}
