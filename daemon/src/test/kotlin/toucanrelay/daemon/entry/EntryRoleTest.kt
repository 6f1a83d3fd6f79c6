package toucanrelay.daemon.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.await
import toucanrelay.core.identity.OrganisationId
import toucanrelay.store.instances.InstanceState
import kotlin.time.Duration.Companion.seconds

private const val EVENTS = "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\n"
private const val DONE = "id: 3\ndata: [DONE]\n\n"

private fun CallerClient.sendChat() = send("POST", "/v1/chat/completions", chatBody(false, 5), KEY_OF_MILL, emptyMap())

/** Runs [test] on an entry that is linked to [agents]. */
private suspend fun withAgents(vararg agents: FakeAgent, test: suspend (RunningEntry) -> Unit) {
    TestFleet(bundleOf(agents.associate { it.record.target!!.value to advice })).use { fleet ->
        fleet.link(*agents.map { it.record }.toTypedArray())
        fleet.withEntry(test = test)
    }
    agents.forEach { it.close() }
}

class EntryRoleTest :
    DescribeSpec({
        describe("a model call") {
            it("returns the answer unchanged") {
                withAgents(FakeAgent("t1")) { entry ->
                    val answer = entry.caller.chat()

                    answer.statusCode() shouldBe 200
                    answer.body() shouldBe "hello"
                }
            }

            it("returns a streamed answer unchanged") {
                withAgents(FakeAgent("t1", serve = { completeAnswer(EVENTS + DONE, "text/event-stream") })) { entry ->
                    entry.caller.chat(stream = true).body() shouldBe EVENTS + DONE
                }
            }

            it("is refused immediately when no target of the pool can be reached") {
                val agent = FakeAgent("t1")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to bookings))).use { fleet ->
                    fleet.link(agent.record)
                    fleet.withEntry(EntryTuning(reconnectGraceMilliseconds = 0)) { entry ->
                        eventually(10.seconds) { entry.caller.chat().statusCode() shouldBe 200 }
                        val answer = entry.caller.post("/services/bookings/drops", "{}")

                        answer.problem shouldBe "no-target"
                        answer.executed shouldBe "no"
                        answer
                            .headers()
                            .firstValue("Retry-After")
                            .orElse(null)
                            .shouldNotBeNull()
                    }
                }
                agent.close()
            }
        }

        describe("a stream that breaks") {
            it("resumes at its offset on the same run of the agent") {
                val agent =
                    FakeAgent(
                        "t1",
                        serve = {
                            admitted()
                            head("text/event-stream")
                            chunk(0, EVENTS)
                            throw IllegalStateException("link lost")
                        },
                        resume = {
                            chunk(it.offset, DONE)
                            end(it.offset + DONE.length)
                        },
                    )
                withAgents(agent) { entry ->
                    entry.caller.chat(stream = true).body() shouldBe EVENTS + DONE
                    agent.served shouldHaveSize 1
                    agent.resumed.single().offset shouldBe EVENTS.length.toLong()
                    entry.count("toucanrelay.retries", "reason", "answer-resumed") shouldBe 1.0
                }
            }

            it("resumes after a chunk with a wrong offset, which is not forwarded to the caller") {
                val agent =
                    FakeAgent(
                        "t1",
                        serve = {
                            admitted()
                            head("text/event-stream")
                            chunk(0, EVENTS)
                            chunk(3, "crossed")
                            awaitCancellation()
                        },
                        resume = {
                            chunk(it.offset, DONE)
                            end(it.offset + DONE.length)
                        },
                    )
                withAgents(agent) { entry -> entry.caller.chat(stream = true).body() shouldBe EVENTS + DONE }
            }

            it("ends with an error event and without [DONE] when it cannot be completed") {
                val agent =
                    FakeAgent(
                        "t1",
                        serve = {
                            admitted()
                            head("text/event-stream")
                            chunk(0, EVENTS + "id: 3\ndata: [DO")
                            failed("TARGET_FAILED")
                        },
                    )
                withAgents(agent) { entry ->
                    val body = entry.caller.chat(stream = true).body()
                    body shouldContain "event: error\ndata: {\"type\":\"urn:toucanrelay:problem:target-failed\""
                    body shouldContain "\"executed\":\"unknown\""
                    body shouldNotContain "[DO"
                    agent.served shouldHaveSize 1
                }
            }
        }

        describe("a target that refuses") {
            it("is followed by an attempt on another target") {
                val full = FakeAgent("t1", serve = { refused("TARGET_LEAVING") })
                val other = FakeAgent("t2", free = 1)
                withAgents(full, other) { entry ->
                    repeat(4) { entry.caller.chat().body() shouldBe "hello" }
                }
            }

            it("receives the request again under its grant") {
                var isFull = true
                val agent =
                    FakeAgent(
                        "t1",
                        free = 1,
                        serve = { if (isFull) refused("TARGET_FULL") else completeAnswer("granted") },
                    )
                withAgents(agent) { entry ->
                    val answer =
                        entry.caller.send(
                            "POST",
                            "/v1/chat/completions",
                            chatBody(false, 5),
                            KEY_OF_MILL,
                            emptyMap(),
                        )
                    eventually(10.seconds) {
                        agent.received
                            .last { it.hasDemand() }
                            .demand.poolsCount shouldBe 1
                    }
                    isFull = false
                    agent.grant(7, "mill")

                    answer.await().body() shouldBe "granted"
                    agent.served.last().grantId shouldBe 7
                }
            }

            it("is notified when its grant is declined for lack of a request") {
                val agent = FakeAgent("t1")
                withAgents(agent) { entry ->
                    entry.caller.chat().statusCode() shouldBe 200
                    agent.grant(9, "mill")
                    eventually(10.seconds) {
                        agent.received.filter { it.hasGrantDeclined() }.map { it.grantDeclined.grantId } shouldBe
                            listOf(9L)
                    }
                }
            }
        }

        describe("a shutdown") {
            it("refuses waiting requests and lets running ones complete") {
                val proceed = CompletableDeferred<Unit>()
                val agent =
                    FakeAgent("t1", free = 1, serve = {
                        admitted()
                        proceed.await()
                        completeAnswer("hello")
                    })
                withAgents(agent) { entry ->
                    val running = entry.caller.sendChat()
                    eventually(10.seconds) { agent.served shouldHaveSize 1 }
                    agent.announce(free = 0)
                    val waiting = entry.caller.sendChat()
                    eventually(10.seconds) { agent.received.any { it.demand.poolsCount == 1 } shouldBe true }
                    coroutineScope {
                        val drained = async { entry.role.drain(8_000) }

                        waiting.await().problem shouldBe "shutting-down"
                        waiting.await().executed shouldBe "no"
                        proceed.complete(Unit)

                        running.await().body() shouldBe "hello"
                        drained.await() shouldBe 0
                    }
                }
            }
        }

        describe("a request that waits") {
            it("is given up immediately when the last target drains") {
                val agent = FakeAgent("t1", free = 0)
                withAgents(agent) { entry ->
                    val answer =
                        entry.caller.send(
                            "POST",
                            "/v1/chat/completions",
                            chatBody(false, 5),
                            KEY_OF_MILL,
                            emptyMap(),
                        )
                    eventually(10.seconds) {
                        agent.received.any { it.hasDemand() && it.demand.poolsCount == 1 } shouldBe
                            true
                    }
                    agent.announce(free = 0, draining = true)

                    answer.await().problem shouldBe "no-target"
                    answer.await().executed shouldBe "no"
                    agent.served.shouldBeEmpty()
                }
            }

            it("is given up immediately when a new bundle removes its organisation") {
                val agent = FakeAgent("t1", free = 0)
                val bundle = bundleOf(mapOf("t1" to advice))
                TestFleet(bundle).use { fleet ->
                    fleet.link(agent.record)
                    fleet.withEntry { entry ->
                        val answer =
                            entry.caller.send(
                                "POST",
                                "/v1/chat/completions",
                                chatBody(false, 5),
                                KEY_OF_MILL,
                                emptyMap(),
                            )
                        eventually(10.seconds) { entry.gauge("toucanrelay.entry.waiting") shouldBe 1.0 }
                        fleet.bundles.value =
                            bundle.copy(organisations = bundle.organisations.remove(OrganisationId("mill")))

                        answer.await().problem shouldBe "unknown-key"
                        answer.await().executed shouldBe "no"
                    }
                }
                agent.close()
            }

            it("is reported to the agent as demand") {
                val agent = FakeAgent("t1", free = 0)
                withAgents(agent) { entry ->
                    entry.caller.send("POST", "/v1/chat/completions", chatBody(false, 5), KEY_OF_MILL, emptyMap())
                    eventually(10.seconds) {
                        val demand =
                            agent.received
                                .last { it.hasDemand() }
                                .demand.poolsList
                                .single()
                        demand.pool shouldBe "advice"
                        demand.organisationsList.single().organisation shouldBe "mill"
                        demand.organisationsList.single().waiting shouldBe 1
                    }
                }
            }
        }

        describe("an agent that the directory no longer assigns to the entry") {
            it("receives no new requests and completes the running ones") {
                val proceed = CompletableDeferred<Unit>()
                val first =
                    FakeAgent("t1") {
                        admitted()
                        head("text/event-stream")
                        chunk(0, EVENTS)
                        proceed.await()
                        chunk(EVENTS.length.toLong(), DONE)
                        end((EVENTS + DONE).length.toLong())
                    }
                val second = FakeAgent("t2")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to advice))).use { fleet ->
                    fleet.link(first.record)
                    fleet.withEntry { entry ->
                        val running =
                            entry.caller.send(
                                "POST",
                                "/v1/chat/completions",
                                chatBody(true, 5),
                                KEY_OF_MILL,
                                emptyMap(),
                            )
                        eventually(10.seconds) { first.served shouldHaveSize 1 }
                        fleet.link(second.record)
                        eventually(10.seconds) { entry.caller.chat().body() shouldBe "hello" }
                        proceed.complete(Unit)

                        running.await().body() shouldBe EVENTS + DONE
                        first.served shouldHaveSize 1
                        first.resumed.shouldBeEmpty()
                    }
                }
                listOf(first, second).forEach { it.close() }
            }

            it("receives no new requests when it is marked as leaving") {
                val leaving = FakeAgent("t1")
                val staying = FakeAgent("t2")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to advice))).use { fleet ->
                    fleet.link(leaving.record, staying.record)
                    fleet.withEntry { entry ->
                        eventually(10.seconds) { entry.caller.chat().statusCode() shouldBe 200 }
                        fleet.link(leaving.record.copy(state = InstanceState.LEAVING), staying.record)
                        eventually(10.seconds) {
                            val before = leaving.served.size
                            repeat(8) { entry.caller.chat().body() shouldBe "hello" }
                            leaving.served shouldHaveSize before
                        }
                    }
                }
                listOf(leaving, staying).forEach { it.close() }
            }
        }

        describe("a non-streamed answer that fails") {
            it("is replaced by a problem document when nothing of it was sent") {
                val agent =
                    FakeAgent(
                        "t1",
                        serve = {
                            admitted()
                            head()
                            chunk(0, "{\"half")
                            failed("TARGET_FAILED")
                        },
                    )
                withAgents(agent) { entry ->
                    val answer = entry.caller.chat()
                    answer.statusCode() shouldBe 502
                    answer.headers().firstValue("Content-Type").get() shouldBe "application/problem+json"
                    answer.executed shouldBe "unknown"
                    answer.body() shouldNotContain "half"
                    answer.body() shouldEndWith "}"
                }
            }
        }
    })
