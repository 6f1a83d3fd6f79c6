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

private fun CallerCalls.sendChat() = send("POST", "/v1/chat/completions", chatBody(false, 5), KEY_OF_MILL, emptyMap())

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
            it("gets the answer byte for byte") {
                withAgents(FakeAgent("t1")) { entry ->
                    val answer = entry.calls.chat()

                    answer.statusCode() shouldBe 200
                    answer.body() shouldBe "hello"
                }
            }

            it("gets a streamed answer byte for byte") {
                withAgents(FakeAgent("t1", serve = { whole(EVENTS + DONE, "text/event-stream") })) { entry ->
                    entry.calls.chat(stream = true).body() shouldBe EVENTS + DONE
                }
            }

            it("is answered at once when no target serves the model") {
                val agent = FakeAgent("t1")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to bookings))).use { fleet ->
                    fleet.link(agent.record)
                    fleet.withEntry(EntryTerms(reconnectGraceMilliseconds = 0)) { entry ->
                        eventually(10.seconds) { entry.calls.chat().statusCode() shouldBe 200 }
                        val answer = entry.calls.post("/services/bookings/drops", "{}")

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

        describe("a stream that breaks off") {
            it("continues from its offset on the same run of the agent") {
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
                    entry.calls.chat(stream = true).body() shouldBe EVENTS + DONE
                    agent.served shouldHaveSize 1
                    agent.resumed.single().offset shouldBe EVENTS.length.toLong()
                    entry.count("toucanrelay.retries", "reason", "answer-resumed") shouldBe 1.0
                }
            }

            it("resumes when a part does not fit, and gives the caller none of it") {
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
                withAgents(agent) { entry -> entry.calls.chat(stream = true).body() shouldBe EVENTS + DONE }
            }

            it("ends with an error event and without the end mark when it cannot be completed") {
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
                    val body = entry.calls.chat(stream = true).body()
                    body shouldContain "event: error\ndata: {\"type\":\"urn:toucanrelay:problem:target-failed\""
                    body shouldContain "\"executed\":\"unknown\""
                    body shouldNotContain "[DO"
                    agent.served shouldHaveSize 1
                }
            }
        }

        describe("a target that refuses") {
            it("is followed by another") {
                val full = FakeAgent("t1", serve = { refused("TARGET_LEAVING") })
                val other = FakeAgent("t2", free = 1)
                withAgents(full, other) { entry ->
                    repeat(4) { entry.calls.chat().body() shouldBe "hello" }
                }
            }

            it("gets the request again by its grant") {
                var isFull = true
                val agent =
                    FakeAgent("t1", free = 1, serve = { if (isFull) refused("TARGET_FULL") else whole("granted") })
                withAgents(agent) { entry ->
                    val answer =
                        entry.calls.send(
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

            it("hears when a grant finds no request") {
                val agent = FakeAgent("t1")
                withAgents(agent) { entry ->
                    entry.calls.chat().statusCode() shouldBe 200
                    agent.grant(9, "mill")
                    eventually(10.seconds) {
                        agent.received.filter { it.hasGrantDeclined() }.map { it.grantDeclined.grantId } shouldBe
                            listOf(9L)
                    }
                }
            }
        }

        describe("a shutdown") {
            it("hands back what waits, with time left for what runs") {
                val goOn = CompletableDeferred<Unit>()
                val agent =
                    FakeAgent("t1", free = 1, serve = {
                        admitted()
                        goOn.await()
                        whole("hello")
                    })
                withAgents(agent) { entry ->
                    val running = entry.calls.sendChat()
                    eventually(10.seconds) { agent.served shouldHaveSize 1 }
                    agent.announce(free = 0)
                    val waiting = entry.calls.sendChat()
                    eventually(10.seconds) { agent.received.any { it.demand.poolsCount == 1 } shouldBe true }
                    coroutineScope {
                        val drained = async { entry.role.drain(8_000) }

                        waiting.await().problem shouldBe "shutting-down"
                        waiting.await().executed shouldBe "no"
                        goOn.complete(Unit)

                        running.await().body() shouldBe "hello"
                        drained.await() shouldBe 0
                    }
                }
            }
        }

        describe("a request that waits") {
            it("is given up at once when the last target drains") {
                val agent = FakeAgent("t1", free = 0)
                withAgents(agent) { entry ->
                    val answer =
                        entry.calls.send(
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

            it("is given up at once when a new bundle drops its organisation") {
                val agent = FakeAgent("t1", free = 0)
                val bundle = bundleOf(mapOf("t1" to advice))
                TestFleet(bundle).use { fleet ->
                    fleet.link(agent.record)
                    fleet.withEntry { entry ->
                        val answer =
                            entry.calls.send(
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

            it("states its demand") {
                val agent = FakeAgent("t1", free = 0)
                withAgents(agent) { entry ->
                    entry.calls.send("POST", "/v1/chat/completions", chatBody(false, 5), KEY_OF_MILL, emptyMap())
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

        describe("an agent that the directory takes from the entry") {
            it("gets no new work, and what runs there ends whole") {
                val goOn = CompletableDeferred<Unit>()
                val first =
                    FakeAgent("t1") {
                        admitted()
                        head("text/event-stream")
                        chunk(0, EVENTS)
                        goOn.await()
                        chunk(EVENTS.length.toLong(), DONE)
                        end((EVENTS + DONE).length.toLong())
                    }
                val second = FakeAgent("t2")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to advice))).use { fleet ->
                    fleet.link(first.record)
                    fleet.withEntry { entry ->
                        val running =
                            entry.calls.send("POST", "/v1/chat/completions", chatBody(true, 5), KEY_OF_MILL, emptyMap())
                        eventually(10.seconds) { first.served shouldHaveSize 1 }
                        fleet.link(second.record)
                        eventually(10.seconds) { entry.calls.chat().body() shouldBe "hello" }
                        goOn.complete(Unit)

                        running.await().body() shouldBe EVENTS + DONE
                        first.served shouldHaveSize 1
                        first.resumed.shouldBeEmpty()
                    }
                }
                listOf(first, second).forEach { it.close() }
            }

            it("gets no new work when it is marked as leaving") {
                val leaving = FakeAgent("t1")
                val staying = FakeAgent("t2")
                TestFleet(bundleOf(mapOf("t1" to advice, "t2" to advice))).use { fleet ->
                    fleet.link(leaving.record, staying.record)
                    fleet.withEntry { entry ->
                        eventually(10.seconds) { entry.calls.chat().statusCode() shouldBe 200 }
                        fleet.link(leaving.record.copy(state = InstanceState.LEAVING), staying.record)
                        eventually(10.seconds) {
                            val before = leaving.served.size
                            repeat(8) { entry.calls.chat().body() shouldBe "hello" }
                            leaving.served shouldHaveSize before
                        }
                    }
                }
                listOf(leaving, staying).forEach { it.close() }
            }
        }

        describe("an unstreamed answer that fails") {
            it("is a problem document when nothing of it was given") {
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
                    val answer = entry.calls.chat()
                    answer.statusCode() shouldBe 502
                    answer.headers().firstValue("Content-Type").get() shouldBe "application/problem+json"
                    answer.executed shouldBe "unknown"
                    answer.body() shouldNotContain "half"
                    answer.body() shouldEndWith "}"
                }
            }
        }
    })
