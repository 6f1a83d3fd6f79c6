package toucanrelay.gateway.dispatch

import toucanrelay.core.allowance.FleetRateLimit
import toucanrelay.core.allowance.StatedLimit
import toucanrelay.core.allowance.StatedLimits
import toucanrelay.core.allowance.TargetPacing
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.ServiceDemandEntry
import toucanrelay.gateway.member.StatedLimitExchange
import kotlin.random.Random

private const val STEP_MILLISECONDS = 20L
private const val MILLISECONDS_PER_SECOND = 1_000.0
private const val SERVICE = "models"
private val RUN = Incarnation(1)

/** Settings of a [StatedLimitSimulation]. */
internal class StatedLimitOptions {
    var gateways = 4
    var targets = 6

    /** Requests per second that each target takes at a time in milliseconds; null for any number. */
    var limitPerSecond: (Long) -> Double? = { 4.0 }

    /** Requests per second that callers send to all gateways together. */
    var demandPerSecond = 60.0

    /** Relative part of the callers' requests that the gateway with an index receives at a time in milliseconds. */
    var weightOf: (Int, Long) -> Double = { _, _ -> 1.0 }

    /** Fraction of the digests that are lost. */
    var lostDigests = 0.0

    /** Whether gateways hear of each other at all. */
    var hasDigests = true
}

/** What the targets of a [StatedLimitSimulation] received. */
internal class TargetArrivals {
    private val times = HashMap<TargetId, MutableList<Long>>()

    fun record(target: TargetId, atMilliseconds: Long) {
        times.getOrPut(target) { mutableListOf() } += atMilliseconds
    }

    /** Returns the most requests that a target got between [from] and [to] in any [windowMilliseconds]. */
    fun mostInWindow(from: Long, windowMilliseconds: Long, to: Long = Long.MAX_VALUE): Int =
        times.values.maxOf { all ->
            val counted = all.filter { it in from until to }
            counted.indices.maxOfOrNull { i -> counted.drop(i).count { it < counted[i] + windowMilliseconds } } ?: 0
        }

    /** Returns the mean requests per second and target between [from] and [to]. */
    fun perSecond(from: Long, to: Long, targets: Int): Double =
        times.values.sumOf { all -> all.count { it in from until to } } * MILLISECONDS_PER_SECOND / (to - from) /
            targets
}

/**
 * Simulates gateways that decide with the product's classes, and targets that state a limit in each answer.
 *
 * Digests arrive every 200 ms within each of two regions and every 600 ms from the other one.
 */
internal class StatedLimitSimulation(
    private val options: StatedLimitOptions,
) {
    private val clock = ManualClock(0)
    private val random = Random(SEED)
    private val targets = List(options.targets) { TargetId("target-$it") }
    private val gateways = List(options.gateways) { Gateway(it) }
    private val answers = ArrayDeque<Answer>()
    private val arrivals = TargetArrivals()

    private class Answer(
        val gateway: Gateway,
        val target: TargetId,
        val sentAtMilliseconds: Long,
        val limit: Double?,
    )

    private inner class Gateway(
        val index: Int,
    ) {
        val id = InstanceId("gateway-$index")
        val region = index % 2
        private val fleet = FleetView(id, RegionId("region-$region"), clock) { RegionId(it.value) }
        private val demand = ServiceDemand(clock)
        private val limits = StatedLimits(clock)
        private val exchange = StatedLimitExchange(limits, clock)
        private val pacings = targets.associateWith { TargetPacing(clock, it) }
        private val waitingSince = ArrayDeque<Long>()

        fun accept() {
            demand.recordRequest(SERVICE)
            waitingSince += clock.nowMilliseconds()
        }

        /** Sends the waiting requests to targets that may get one now, and gives up those that have waited too long. */
        fun send() {
            while (waitingSince.isNotEmpty()) {
                val first = random.nextInt(targets.size)
                val target = (targets.drop(first) + targets.take(first)).firstOrNull { maySend(it) } ?: break
                waitingSince.removeFirst()
                pacings.getValue(target).pacer.recordSent()
                arrivals.record(target, clock.nowMilliseconds())
                val limit = options.limitPerSecond(clock.nowMilliseconds())
                answers += Answer(this, target, clock.nowMilliseconds(), limit)
            }
            val oldest = clock.nowMilliseconds() - MAX_WAIT_MILLISECONDS
            while (waitingSince.isNotEmpty() && waitingSince.first() < oldest) waitingSince.removeFirst()
        }

        fun receive(answer: Answer) {
            val stated = answer.limit?.let { StatedLimit.PerSecond(it) } ?: StatedLimit.None
            limits.recordAnswer(answer.target, RUN, stated, answer.sentAtMilliseconds)
        }

        fun digest(sequence: Long) =
            MemberDigest(
                instance = id.value,
                incarnation = 1,
                sequence = sequence,
                failureDomain = "region-$region",
                demand = demand.snapshot().map { (service, rate) -> ServiceDemandEntry(service, rate.toFloat()) },
                statedLimits = exchange.shared(),
            )

        fun receive(digest: MemberDigest) {
            fleet.recordDigest(digest, ADDRESS)
            exchange.receive(digest.statedLimits)
        }

        private fun maySend(target: TargetId): Boolean {
            val pacing = pacings.getValue(target)
            val limit = limits.find(target, RUN)?.let { FleetRateLimit(it, WINDOW_MILLISECONDS) }
            pacing.update(listOfNotNull(limit), id) {
                fleet.demands(SERVICE, demand.perSecond(SERVICE))
            }
            return pacing.pacer.maySend()
        }
    }

    /** Runs for [seconds] and returns what the targets received. */
    fun run(seconds: Int): TargetArrivals {
        repeat((seconds * MILLISECONDS_PER_SECOND / STEP_MILLISECONDS).toInt()) { step(it) }
        return arrivals
    }

    private fun step(index: Int) {
        clock.advance(STEP_MILLISECONDS)
        while (answers.isNotEmpty() &&
            answers.first().sentAtMilliseconds + ANSWER_MILLISECONDS <= clock.nowMilliseconds()
        ) {
            answers.removeFirst().let { it.gateway.receive(it) }
        }
        if (options.hasDigests) exchangeDigests(index)
        val expected = options.demandPerSecond * STEP_MILLISECONDS / MILLISECONDS_PER_SECOND
        val count = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
        repeat(count) { randomGateway().accept() }
        gateways.forEach { it.send() }
    }

    private fun randomGateway(): Gateway {
        val weights = gateways.map { options.weightOf(it.index, clock.nowMilliseconds()) }
        var point = random.nextDouble() * weights.sum()
        return gateways.first { gateway ->
            point -= weights[gateway.index]
            point <= 0
        }
    }

    private fun exchangeDigests(index: Int) {
        if (index % OWN_REGION_STEPS != 0) return
        val isForOthers = index % OTHER_REGION_STEPS == 0
        gateways.forEach { sender ->
            val digest = sender.digest(index.toLong())
            gateways.forEach { receiver ->
                val isAddressed = receiver !== sender && (isForOthers || receiver.region == sender.region)
                if (isAddressed && random.nextDouble() >= options.lostDigests) receiver.receive(digest)
            }
        }
    }

    companion object {
        const val WINDOW_MILLISECONDS = 4_000L
        private const val SEED = 26
        private const val OWN_REGION_STEPS = 10
        private const val OTHER_REGION_STEPS = 30
        private const val ANSWER_MILLISECONDS = 60L
        private const val MAX_WAIT_MILLISECONDS = 200L
        private val ADDRESS = TargetAddress("127.0.0.1", 1)
    }
}
