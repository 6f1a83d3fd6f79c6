package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import toucanrelay.platform.standin.StoreBehaviour
import toucanrelay.platform.standin.TargetScript

class GatewayTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        suspend fun start(revocationMilliseconds: Double = 5_000.0) {
            fixture = GatewayFixture()
            fixture.start(revocationMilliseconds)
        }

        fun script(script: TargetScript) = fixture.targets.forEach { it.script = script }

        afterEach { fixture.kill() }

        describe("an answered request") {
            it("passes on the target's answer, and the organisation but not the key to the target") {
                start()
                val answer = fixture.send("/calls/x?q=1", id = "request-1")
                answer.status shouldBe 200
                answer.body shouldBe "hello"
                answer.headers["x-response-seal"] shouldNotBe null
                val received = fixture.targets.flatMap { it.receivedRequests }.single()
                received.path shouldBe "/calls/x?q=1"
                received.body shouldBe "body"
                received.headers["x-request-id"] shouldBe "request-1"
                received.headers["x-tenant-id"] shouldBe "one"
                received.headers["x-key"] shouldBe null
            }
        }

        describe("a request that the configuration does not allow") {
            it("is refused and not sent to any target when its key or route is unknown") {
                start()
                fixture.send("/calls/x", key = "other").status shouldBe 401
                fixture.send("/calls/x", key = null).status shouldBe 401
                fixture.send("/nothing/").status shouldBe 404
                fixture.receivedCount() shouldBe 0
            }

            it("is refused immediately when no target may serve it") {
                start()
                val answer = fixture.send("/far/x")
                answer.status shouldBe 503
                answer.headers["retry-after"] shouldNotBe null
                fixture.receivedCount() shouldBe 0
            }

            it("is refused when its body is too large") {
                start()
                fixture.send("/calls/x", body = "x".repeat(70_000)).status shouldBe 413
                fixture.receivedCount() shouldBe 0
            }

            it("is refused when its headers are too large") {
                start()
                fixture.send("/calls/" + "x".repeat(9_000)).status shouldBe 431
                fixture.receivedCount() shouldBe 0
            }
        }

        describe("a stream") {
            it("that is cut off within an event resumes at another target and delivers each event once") {
                start()
                script { request, received, target ->
                    if (received.headers["last-event-id"] == null) {
                        target.respondWithStream(request, received, 1, 3, isCut = true)
                    } else {
                        target.respondWithStream(
                            request,
                            received,
                            received.headers.getValue("last-event-id").toInt() + 1,
                            6,
                        )
                    }
                }
                val answer = fixture.send("/streams/x")
                Regex("id: (\\d+)").findAll(answer.body).map { it.groupValues[1] }.toList() shouldBe
                    listOf("1", "2", "3", "4", "5", "6")
                fixture.receivedCount() shouldBe 2
            }

            it("that is not resumable is aborted when its target cuts it off, and is not retried") {
                start()
                script { request, received, target -> target.respondWithStream(request, received, 1, 3, isCut = true) }
                fixture.isAborted("/chats/x") shouldBe true
                fixture.receivedCount() shouldBe 1
            }

            it("whose resumption skips an event is aborted") {
                start()
                script { request, received, target ->
                    if (received.headers["last-event-id"] == null) {
                        target.respondWithStream(request, received, 1, 3, isCut = true)
                    } else {
                        target.respondWithStream(request, received, 6, 8)
                    }
                }
                fixture.isAborted("/streams/x") shouldBe true
            }
        }

        describe("a silent target") {
            it("is abandoned when the request may be retried at another target") {
                start()
                script { request, received, target -> target.respondWithStream(request, received, 1, 3) }
                fixture.targets[0].script = TargetScript { _, _, _ -> }
                repeat(4) { fixture.send("/streams/x").status shouldBe 200 }
            }

            it("keeps a request that must not be retried") {
                start()
                script { request, received, target ->
                    fixture.vertx.setTimer(2_500) { target.respond(request, received, "slow") }
                }
                fixture.send("/orders/x").body shouldBe "slow"
                fixture.receivedCount() shouldBe 1
            }
        }

        describe("a request that must not run twice") {
            it("is not retried when its answer is lost, and is answered with 502") {
                start()
                script { request, _, _ -> request.connection().close() }
                fixture.send("/orders/x").status shouldBe 502
                fixture.receivedCount() shouldBe 1
            }

            it("is retried at another target when the first one rejected it") {
                start()
                fixture.targets[0].script =
                    TargetScript { request, received, target -> target.reject(request, received) }
                repeat(4) { fixture.send("/orders/x").status shouldBe 200 }
            }

            it("is refused with Retry-After when all targets rejected it") {
                start()
                script { request, received, target -> target.reject(request, received) }
                val answer = fixture.send("/orders/x")
                answer.status shouldBe 503
                answer.headers["retry-after"] shouldNotBe null
            }
        }

        describe("an answer of a target") {
            it("is not passed on as a success without a signature or with the ID of another request") {
                start()
                script { request, _, _ -> request.response().end("no seal") }
                fixture.send("/calls/x").status shouldBe 502
                script { request, _, _ ->
                    request
                        .response()
                        .putHeader("X-Request-Id", "another")
                        .putHeader("X-Response-Seal", "s")
                        .end("another's")
                }
                fixture.send("/calls/x").status shouldBe 502
            }

            it("is passed on unchanged when it reports a failure") {
                start()
                script { request, received, target -> target.respond(request, received, "broken", status = 500) }
                val answer = fixture.send("/orders/x")
                answer.status shouldBe 500
                answer.body shouldBe "broken"
            }
        }

        describe("a key") {
            it("is refused as soon as its revocation has been read") {
                start()
                fixture.store.putConfiguration(fixture.configuration(2, "key-2"))
                fixture.eventually { fixture.send("/calls/x").status == 401 }
                fixture.send("/calls/x", key = "key-2").status shouldBe 200
            }

            it("is refused once the store has been silent for too long, while anonymous routes are still served") {
                start(revocationMilliseconds = 2_800.0)
                fixture.store.behaviour = StoreBehaviour.SILENT
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                fixture.send("/open/x", key = null).status shouldBe 200
                fixture.readiness() shouldBe 503
                fixture.store.behaviour = StoreBehaviour.SERVE
                fixture.eventually { fixture.send("/calls/x").status == 200 }
            }
        }

        describe("a configuration") {
            it("never reverts to an older version, even when the store has compacted its history") {
                start()
                fixture.store.putConfiguration(fixture.configuration(5, "key-2"))
                fixture.eventually { fixture.send("/calls/x", key = "key-2").status == 200 }
                fixture.store.putConfiguration(fixture.configuration(4))
                fixture.store.compact()
                delay(300)
                fixture.send("/calls/x").status shouldBe 401
            }
        }

        describe("a target") {
            it("that is leaving receives no requests") {
                start()
                val leaving = fixture.targets[0]
                fixture.store.putRegistration(leaving.id, leaving.registration("models", "domain", state = "draining"))
                delay(1_500)
                leaving.receivedRequests.clear()
                repeat(10) { fixture.send("/calls/x").status shouldBe 200 }
                leaving.receivedRequests.size shouldBe 0
            }

            it("whose failure domain is out of service receives no requests until it is back in service") {
                start()
                fixture.store.putOutOfService("domain", true)
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                fixture.store.putOutOfService("domain", false)
                fixture.eventually { fixture.send("/calls/x").status == 200 }
            }

            it("whose address now belongs to another target is not tried again") {
                start()
                val replaced = fixture.targets[0]
                replaced.script =
                    TargetScript { request, received, target -> target.reject(request, received, status = 421) }
                repeat(10) { fixture.send("/calls/x").status shouldBe 200 }
                replaced.receivedRequests.size shouldBeLessThanOrEqual 1
            }

            it("that is cold receives no more than its rate limit") {
                start()
                fixture.targets.forEach {
                    fixture.store.putRegistration(it.id, it.registration("models", "domain", coldMilliseconds = 60_000))
                }
                delay(1_500)
                fixture.targets.forEach { it.receivedRequests.clear() }
                coroutineScope { (1..40).map { async { fixture.send("/calls/x").status } }.forEach { it.await() } }
                fixture.targets.forEach { it.receivedRequests.size shouldBeLessThanOrEqual 4 + 4 }
                fixture.receivedCount() shouldBeGreaterThan 0
            }
        }

        describe("a process without targets") {
            it("is not ready and polls the store until a target is registered, then serves requests") {
                start()
                fixture.targets.forEach { fixture.store.putRegistration(it.id, null) }
                fixture.eventually { fixture.readiness() == 503 }
                fixture.store.calls.let { before ->
                    delay(700)
                    (fixture.store.calls - before) shouldBeGreaterThan 2
                }
                val back = fixture.targets[0]
                fixture.store.putRegistration(back.id, back.registration("models", "domain"))
                fixture.eventually { fixture.readiness() == 200 && fixture.send("/calls/x").status == 200 }
            }
        }

        describe("a process whose event loop lags") {
            it("refuses requests without sending them to targets and is not ready") {
                fixture = GatewayFixture()
                fixture.start(isOverloaded = true)
                val answer = fixture.send("/calls/x")
                answer.status shouldBe 503
                answer.headers["retry-after"] shouldNotBe null
                fixture.readiness() shouldBe 503
                fixture.receivedCount() shouldBe 0
            }
        }

        describe("the metrics") {
            it("report the state of the process") {
                start()
                val page = fixture.metrics()
                page shouldContain "toucanrelay_configuration_version 1.0"
                page shouldContain "toucanrelay_targets{condition=\"sound\"} 2.0"
                page shouldContain "toucanrelay_members 1.0"
            }
        }

        describe("a connection that is kept while the process shuts down") {
            it("has its requests answered, and refused as not run once too little time is left") {
                start()
                fixture.connect().use { caller ->
                    script { request, received, target ->
                        fixture.vertx.setTimer(3_300) { target.respond(request, received, "late") }
                    }
                    coroutineScope {
                        val late = async { fixture.send("/orders/x") }
                        fixture.eventually { fixture.receivedCount() == 1 }
                        val stopped = async { fixture.gateway.stop() }
                        fixture.eventually { fixture.readiness() == 503 }
                        script { request, received, target -> target.respond(request, received, "early") }
                        caller.send("/open/x")
                        val answer = caller.read()
                        answer?.body shouldBe "early"
                        answer?.headers?.get("connection") shouldBe "close"
                        delay(2_300)
                        caller.send("/open/x")
                        caller.read()?.status shouldBe 503
                        late.await().body shouldBe "late"
                        stopped.await()
                    }
                }
            }

            it("has a request that is at a target at the end answered without a promise") {
                start()
                script { _, _, _ -> }
                fixture.connect().use { caller ->
                    caller.send("/open/x")
                    fixture.eventually { fixture.receivedCount() == 1 }
                    fixture.gateway.stop()
                    caller.read()?.status shouldBe 502
                }
            }
        }

        describe("a shutdown") {
            it("finishes the active requests while the process is not ready") {
                start()
                fixture.readiness() shouldBe 200
                script { request, received, target ->
                    fixture.vertx.setTimer(1_500) { target.respond(request, received, "late") }
                }
                coroutineScope {
                    val answer = async { fixture.send("/calls/x") }
                    fixture.eventually { fixture.receivedCount() == 1 }
                    val stopped = async { fixture.gateway.stop() }
                    fixture.eventually { fixture.readiness() == 503 }
                    answer.await().body shouldBe "late"
                    stopped.await()
                }
            }
        }
    })
