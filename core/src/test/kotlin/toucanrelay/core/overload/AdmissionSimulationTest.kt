package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.collections.immutable.persistentListOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.Candidate
import toucanrelay.core.placement.Distance
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.placement.PlacementPolicy
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private const val OBJECTIVE_MILLISECONDS = 500L
private const val ENGINE_TOKENS_PER_MILLISECOND = 20
private const val REQUEST_TOKENS = 2_000L
private const val MAX_WAIT_MILLISECONDS = 175L

private val PROMPT =
    PromptProfile(
        model = null,
        promptTokens = REQUEST_TOKENS.toInt(),
        maxOutputTokens = 1,
        hintedOutputTokens = null,
        expectedOutputTokens = 1,
        parts = persistentListOf(),
    )

/** Simulates an overloading organisation beside small ones, at an engine that reads requests one after the other. */
private class OverloadSimulation(
    private val isFair: Boolean,
) {
    private class Waiter(
        val name: String,
        val sinceMilliseconds: Long,
    )

    private val clock = ManualClock()
    private val speed = EngineSpeed(ENGINE_TOKENS_PER_MILLISECOND.toDouble())
    private val usage = OrganisationUsage(clock)
    private val random = Random(11)
    private val offered = HashMap<String, Int>()
    private val served = HashMap<String, Int>()
    private val waiting = mutableListOf<Waiter>()
    private var backlogTokens = 0L
    private var idleMilliseconds = 0

    fun run(): OverloadSimulation {
        repeat(10_000) {
            clock.advance(1)
            if (backlogTokens == 0L) idleMilliseconds++
            backlogTokens = maxOf(0, backlogTokens - ENGINE_TOKENS_PER_MILLISECOND)
            if (random.nextDouble() < 0.02) offer("hot")
            listOf("first", "second", "third").forEach { if (random.nextDouble() < 0.002) offer(it) }
            placeWaiting()
        }
        return this
    }

    fun servedFraction(organisation: String) = served.getValue(organisation).toDouble() / offered.getValue(organisation)

    val idleFraction: Double
        get() = idleMilliseconds / 10_000.0

    private fun offer(name: String) {
        offered.merge(name, 1, Int::plus)
        usage.recordDemand(UsageKey(OrganisationId(name)), REQUEST_TOKENS)
        waiting += Waiter(name, clock.nowMilliseconds())
    }

    /** Places the waiting requests that fit, those of the organisation with the lowest served rate first. */
    private fun placeWaiting() {
        val rates = usage.snapshot()
        waiting.sortedBy { rates[UsageKey(OrganisationId(it.name))]?.served ?: 0.0 }.forEach { waiter ->
            val waited = clock.nowMilliseconds() - waiter.sinceMilliseconds
            val organisation = UsageKey(OrganisationId(waiter.name))
            val limit = limitMilliseconds(organisation) - waited
            val placement = PlacementPolicy.placeModelCall(PROMPT, listOf(engine()), speed, limit)
            if (placement != null) {
                usage.recordServed(organisation, REQUEST_TOKENS)
                served.merge(waiter.name, 1, Int::plus)
                backlogTokens += REQUEST_TOKENS
            }
            if (placement != null || waited > MAX_WAIT_MILLISECONDS) waiting.remove(waiter)
        }
    }

    private fun engine() =
        Candidate(
            target = TargetId("engine"),
            distance = Distance.SAME_REGION,
            load = TargetLoad(requests = 0, unreadTokens = backlogTokens, memoryTokens = 0),
            readTokensPerSecond = 0.0,
            residentTokens = 0,
            failureRate = 0.0,
            slots = 64,
            memoryTokens = null,
        )

    private fun limitMilliseconds(organisation: UsageKey): Double {
        val rates = usage.snapshot()
        val capacity = ENGINE_TOKENS_PER_MILLISECOND * 1_000.0
        val level = if (isFair) MaxMinShare.level(rates.values.map { it.demanded }, capacity) else Double.MAX_VALUE
        val servedRate = rates[organisation]?.served ?: 0.0
        return AdmissionLatencyLimit.milliseconds(OBJECTIVE_MILLISECONDS, servedRate, level, RequestHistory.NEW)
    }
}

class AdmissionSimulationTest :
    DescribeSpec({
        describe("one organisation that demands twice the capacity, beside three with low demand") {
            val fair = OverloadSimulation(isFair = true).run()
            val unfair = OverloadSimulation(isFair = false).run()

            it("serves more than half of the demand of each small organisation") {
                listOf("first", "second", "third").forEach { fair.servedFraction(it) shouldBeGreaterThan 0.5 }
            }

            it("serves the small organisations better than first come, first served") {
                val small = listOf("first", "second", "third")
                small.sumOf { unfair.servedFraction(it) } * 1.5 shouldBeLessThan small.sumOf { fair.servedFraction(it) }
            }

            it("does not leave the engine idle") {
                fair.idleFraction shouldBeLessThan 0.03
            }
        }
    })
