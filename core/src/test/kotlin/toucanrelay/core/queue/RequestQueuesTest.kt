package toucanrelay.core.queue

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.bundle.OrganisationLimits
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import kotlin.math.abs
import kotlin.random.Random

private val advice = Pool.ofModel("advice")
private val mill = OrganisationId("mill")
private val depot = OrganisationId("depot")
private val limits = OrganisationLimits(waitingRequests = 3, inFlightRequests = 2, bodyBytes = 100)

private fun request(
    name: Int,
    organisation: OrganisationId = mill,
    arrivedAt: Long = name.toLong(),
    bytes: Long = 1,
    cost: Double = 1.0,
) = WaitingRequest(RequestId("r$name"), organisation, advice, cost, arrivedAt, bodyBytes = bytes)

class RequestQueuesTest :
    DescribeSpec({
        describe("the limits of an organisation") {
            it("refuse a body that is too large") {
                RequestQueues { limits }.enqueue(request(1, bytes = 101)).getError() shouldBe
                    RefusalReason.BODY_TOO_LARGE
            }

            it("refuse a request beyond the maximum number of waiting requests") {
                val queues = RequestQueues { limits }
                repeat(3) { queues.enqueue(request(it)).get() shouldBe Unit }
                queues.enqueue(request(4)).getError() shouldBe RefusalReason.TOO_MANY_WAITING
                queues.enqueue(request(5, depot)).get() shouldBe Unit
            }

            it("refuse a request when the maximum number is in flight") {
                val queues = RequestQueues { limits }
                repeat(2) { queues.enqueue(request(it)).also { _ -> queues.start(request(it)) } }
                queues.enqueue(request(3)).getError() shouldBe RefusalReason.TOO_MANY_IN_FLIGHT
                queues.finish(mill)
                queues.enqueue(request(4)).get() shouldBe Unit
            }

            it("hold after every step of random operations") {
                checkAll(PropTestConfig(seed = 4101, iterations = 200), Arb.list(Arb.int(0..5), 1..200)) { steps ->
                    val operations = RandomOperations(Random(steps.hashCode()))
                    steps.forEach { step ->
                        operations.step(step)
                        listOf(mill, depot).forEach { organisation ->
                            operations.queues.inFlightOf(organisation) shouldBeLessThanOrEqual limits.inFlightRequests
                            operations.queues.waitingOf(organisation) shouldBe
                                operations.waiting.count { it.organisation == organisation }
                            operations.queues.inFlightOf(organisation) shouldBe
                                operations.running.count { it.organisation == organisation }
                        }
                    }
                }
            }
        }

        describe("the heads of a pool") {
            it("are ordered by rank, then by arrival") {
                val queues = RequestQueues { OrganisationLimits() }
                queues.enqueue(request(1, mill))
                queues.enqueue(request(2, depot))
                val ranks = mapOf(mill to 7.0, depot to 3.0)

                queues
                    .heads(
                        advice,
                        OrderingPolicy.byVirtualTime(ranks::getValue),
                    ).map { it.organisation } shouldContainExactly
                    listOf(depot, mill)
                queues.heads(advice, OrderingPolicy.firstComeFirstServed).map { it.organisation } shouldContainExactly
                    listOf(mill, depot)
            }

            it("are the oldest requests of their organisations, also after requests were requeued") {
                checkAll(PropTestConfig(seed = 4102, iterations = 200), Arb.list(Arb.int(0..5), 1..100)) { steps ->
                    val operations = RandomOperations(Random(steps.hashCode()), OrganisationLimits(1_000, 1_000))
                    steps.forEach(operations::step)
                    listOf(mill, depot).forEach { organisation ->
                        operations.queues
                            .waitingIn(advice, organisation)
                            .map { it.arrivedAtMilliseconds }
                            .toList()
                            .shouldBeSorted()
                    }
                }
            }

            it("leave out an organisation that has reached its limit in flight") {
                val queues = RequestQueues { limits }
                queues.enqueue(request(1))
                queues.enqueue(request(2))
                queues.enqueue(request(3))
                queues.start(request(1))
                queues.start(request(2))
                queues.heads(advice, OrderingPolicy.firstComeFirstServed) shouldBe emptyList()
            }
        }

        describe("service in the order of virtual time at one entry") {
            it("keeps the virtual times of two backlogged organisations within one request of each per unit of share") {
                val arb = Arb.list(Arb.int(1..500), 50..300)
                checkAll(PropTestConfig(seed = 4103, iterations = 100), arb) { costs ->
                    val shares = mapOf(mill to 3.0, depot to 1.0)
                    val times = VirtualTimes()
                    val queues = RequestQueues { OrganisationLimits(10_000, 10_000) }
                    costs.forEachIndexed { index, cost ->
                        queues.enqueue(request(2 * index, mill, cost = cost.toDouble()))
                        queues.enqueue(request(2 * index + 1, depot, cost = costs.first().toDouble()))
                    }
                    shares.keys.forEach(times::activate)
                    val bound = shares.values.sumOf { costs.max() / it }
                    while (shares.keys.all { queues.waitingOf(it) > 0 }) {
                        val next = queues.heads(advice, OrderingPolicy.byVirtualTime(times::timeOf)).first()
                        queues.start(next)
                        times.charge(next.organisation, next.cost, shares.getValue(next.organisation))
                        abs(times.timeOf(mill) - times.timeOf(depot)) shouldBeLessThanOrEqual bound
                    }
                }
            }
        }
    })

/** Applies random operations to the queues and to a simple model of their expected content. */
private class RandomOperations(
    private val random: Random,
    limits: OrganisationLimits = toucanrelay.core.queue.limits,
) {
    val queues = RequestQueues { limits }
    val waiting = mutableListOf<WaitingRequest>()
    val running = mutableListOf<WaitingRequest>()
    private var lastNumber = 0

    fun step(step: Int) {
        when (step) {
            0, 1 -> arrive()
            2, 3 -> start()
            4 -> if (running.isNotEmpty()) queues.finish(running.removeAt(random.nextInt(running.size)).organisation)
            else -> withdrawOrRequeue()
        }
    }

    private fun arrive() {
        val request = request(++lastNumber, if (random.nextBoolean()) mill else depot)
        if (queues.enqueue(request).isOk) waiting += request
    }

    private fun start() {
        val head = queues.heads(advice, OrderingPolicy.firstComeFirstServed).randomOrNull(random) ?: return
        queues.start(head)
        waiting -= head
        running += head
    }

    private fun withdrawOrRequeue() {
        if (random.nextBoolean() && waiting.isNotEmpty()) {
            queues.withdraw(waiting.removeAt(random.nextInt(waiting.size))) shouldBe true
        } else if (running.isNotEmpty()) {
            val requeued = running.removeAt(random.nextInt(running.size))
            queues.requeue(requeued)
            waiting += requeued
        }
    }
}
