package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import toucanrelay.platform.standin.ConfigurationDocumentBuilder
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.platform.standin.configurationDocument

/** A sound target's longest silence, well below the timeouts of the routes. */
private const val SILENCE_MILLISECONDS = 1_900L
private const val CHANGE_PERIOD_MILLISECONDS = 250L
private const val SLOTS = 32

/** Long enough for requests to wait while the code is still being loaded. */
private const val OBJECTIVE_MILLISECONDS = 3_000L
private const val COLD_MILLISECONDS = 60_000L
private const val WHOLE = "whole"
private val MAY_RUN_AGAIN = listOf("/calls/", "/streams/")
private val AT_MOST_ONCE = listOf("/orders/", "/chats/")

private val REJECTING = TargetScript { request, received, target -> target.reject(request, received) }
private val CLOSING = TargetScript { request, _, _ -> request.connection().close() }

/** Breaks off within the first event that it is asked for. */
private val BREAKING_OFF =
    TargetScript { request, received, target ->
        val first = firstEventOf(received)
        target.respondWithStream(request, received, first, first - 1, isCut = true)
    }

private fun ConfigurationDocumentBuilder.routes(
    service: String = "models",
    attempts: Int = 2,
    timeoutMilliseconds: Long = 5_000,
) {
    objectiveMilliseconds = OBJECTIVE_MILLISECONDS
    route("/calls/", service, "idempotent", attempts, timeoutMilliseconds = timeoutMilliseconds)
    route("/orders/", service, "non_idempotent", attempts, timeoutMilliseconds = timeoutMilliseconds)
    route(
        "/streams/",
        service,
        "streaming",
        attempts,
        isResumable = true,
        timeoutMilliseconds = timeoutMilliseconds,
    )
    route("/chats/", service, "streaming", attempts, timeoutMilliseconds = timeoutMilliseconds)
}

class SilentTargetTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var silent: TargetStandIn
        lateinit var other: TargetStandIn
        var version = 1L

        fun register(target: TargetStandIn, failureDomain: String = "domain", coldMilliseconds: Long = 0) {
            val registration =
                target.registration("models", failureDomain, coldMilliseconds = coldMilliseconds, slots = SLOTS)
            fixture.store.putRegistration(target.id, registration)
        }

        fun put(configure: ConfigurationDocumentBuilder.() -> Unit) {
            val document =
                configurationDocument(++version) {
                    configure()
                    organisation("one", KEY)
                }
            fixture.store.putConfiguration(document)
        }

        suspend fun configure(configure: ConfigurationDocumentBuilder.() -> Unit) {
            put(configure)
            fixture.eventually { "toucanrelay_configuration_version $version.0" in fixture.metrics() }
        }

        suspend fun outcome(path: String): String {
            val answer = runCatching { fixture.send(path, id = path) }.getOrElse { return "cut off: ${it.message}" }
            if (answer.status == 200 && answer.body == WHOLE_ANSWER) return WHOLE
            return "status ${answer.status}: ${answer.body.trim()}"
        }

        /** Starts a gateway that knows only one target, which will fall silent. */
        suspend fun start(mayRetry: Boolean = true, silenceMilliseconds: Long? = SILENCE_MILLISECONDS) {
            fixture = GatewayFixture(mayRetry)
            silent = fixture.targets[0]
            other = fixture.targets[1]
            fixture.start(registered = listOf(silent), slots = SLOTS)
            fixture.targets.forEach { it.script = SOUND_SCRIPT }
            version = 1
            configure {
                routes()
                service("models", engineMemoryTokens = 100_000)
            }
            (MAY_RUN_AGAIN + AT_MOST_ONCE).forEach { prefix ->
                fixture.eventually { outcome(prefix + "first") == WHOLE }
            }
            silent.script = PausingScript(fixture.vertx, silenceMilliseconds)
        }

        fun paths(prefixes: List<String>) =
            prefixes.flatMap { prefix -> PausePoint.entries.map { prefix + it.pathSuffix } }

        /** Sends requests to the target that falls silent, one for each point, and does [whenSilent] once it is. */
        suspend fun outcomes(prefixes: List<String>, whenSilent: suspend () -> Unit = {}): Map<String, String> =
            coroutineScope {
                val paths = paths(prefixes)
                val outcomes = paths.map { path -> async { outcome(path) } }
                fixture.eventually { silent.receivedRequests.count { it.id in paths } == paths.size }
                whenSilent()
                paths.zip(outcomes.awaitAll()).toMap()
            }

        fun whole(prefixes: List<String>) = paths(prefixes).associateWith { WHOLE }

        fun runs(prefixes: List<String>) =
            fixture.targets
                .flatMap { it.receivedRequests }
                .map { it.id }
                .filter { it in paths(prefixes) }

        afterEach { fixture.kill() }

        describe("a target that falls silent and goes on completes the answers to requests that may run again") {
            it("when there is no other target") {
                start()
                outcomes(MAY_RUN_AGAIN) shouldContainExactly whole(MAY_RUN_AGAIN)
            }

            it("when the other target is out of service") {
                start()
                fixture.store.putOutOfService("other", true)
                outcomes(MAY_RUN_AGAIN) { register(other, failureDomain = "other") } shouldContainExactly
                    whole(MAY_RUN_AGAIN)
                other.receivedRequests.size shouldBe 0
            }

            it("when the connections of the other target are used up") {
                start()
                val connections = paths(MAY_RUN_AGAIN).size
                silent = fixture.targets[1].also { other = silent }
                other.script = HoldingScript(fixture.vertx)
                silent.script = SOUND_SCRIPT
                configure {
                    routes()
                    service("models", engineMemoryTokens = 100_000, maxConnections = connections)
                }
                coroutineScope {
                    val held = List(connections) { async { fixture.isAborted("/chats/held") } }
                    fixture.eventually { other.receivedRequests.count { it.path == "/chats/held" } == connections }
                    register(silent)
                    fixture.eventually { outcome("/calls/first") == WHOLE }
                    silent.script = PausingScript(fixture.vertx, SILENCE_MILLISECONDS)
                    outcomes(MAY_RUN_AGAIN) shouldContainExactly whole(MAY_RUN_AGAIN)
                    held.awaitAll()
                }
            }

            it("when the rate of the other target, which is cold, is used up") {
                start()
                configure {
                    routes()
                    service("models", coldPerSecond = 0.01, engineMemoryTokens = 100_000)
                }
                outcomes(MAY_RUN_AGAIN) { register(other, coldMilliseconds = COLD_MILLISECONDS) } shouldContainExactly
                    whole(MAY_RUN_AGAIN)
            }

            it("when their only attempt is used up") {
                start()
                configure {
                    routes(attempts = 1)
                    service("models", engineMemoryTokens = 100_000)
                }
                outcomes(MAY_RUN_AGAIN) { register(other) } shouldContainExactly whole(MAY_RUN_AGAIN)
                other.receivedRequests.size shouldBe 0
            }

            it("when the retry budget is used up") {
                start(mayRetry = false)
                outcomes(MAY_RUN_AGAIN) { register(other) } shouldContainExactly whole(MAY_RUN_AGAIN)
                other.receivedRequests.size shouldBe 0
            }

            mapOf(
                "rejects them" to REJECTING,
                "closes their connections" to CLOSING,
                "breaks off within an event" to BREAKING_OFF,
            ).forEach { (failure, script) ->
                it("when the other target $failure") {
                    start()
                    other.script = script
                    outcomes(MAY_RUN_AGAIN) { register(other) } shouldContainExactly whole(MAY_RUN_AGAIN)
                }
            }

            it("when the other target falls silent too") {
                start()
                other.script = PausingScript(fixture.vertx, SILENCE_MILLISECONDS)
                outcomes(MAY_RUN_AGAIN) { register(other) } shouldContainExactly whole(MAY_RUN_AGAIN)
            }
        }

        describe("a target that falls silent and goes on completes the answers to requests that run at most once") {
            it("when there is no other target") {
                start()
                outcomes(AT_MOST_ONCE) shouldContainExactly whole(AT_MOST_ONCE)
            }

            it("when there is another target, which does not run them") {
                start()
                outcomes(AT_MOST_ONCE) { register(other) } shouldContainExactly whole(AT_MOST_ONCE)
                runs(AT_MOST_ONCE) shouldContainExactlyInAnyOrder paths(AT_MOST_ONCE)
            }
        }

        describe("a target that falls silent while a new configuration arrives") {
            val all = MAY_RUN_AGAIN + AT_MOST_ONCE
            val added: ConfigurationDocumentBuilder.() -> Unit = {
                routes()
                route("/added/", "models", "idempotent")
                service("models", engineMemoryTokens = 100_000)
            }
            val moved: ConfigurationDocumentBuilder.() -> Unit = {
                routes(service = "others")
                service("models", engineMemoryTokens = 100_000)
                service("others", engineMemoryTokens = 100_000)
            }
            val dropped: ConfigurationDocumentBuilder.() -> Unit = {
                route("/added/", "models", "idempotent")
                service("models", engineMemoryTokens = 100_000)
            }
            val retimed: ConfigurationDocumentBuilder.() -> Unit = {
                routes(timeoutMilliseconds = 4_000)
                service("models", engineMemoryTokens = 100_000)
            }

            mapOf(
                "adds a route" to added,
                "moves their routes" to moved,
                "drops their routes" to dropped,
                "changes their timeouts" to retimed,
            ).forEach { (change, configuration) ->
                listOf(MAY_RUN_AGAIN to "may run again", AT_MOST_ONCE to "run at most once").forEach { (kinds, kind) ->
                    it("that $change completes the answers to requests that $kind") {
                        start()
                        outcomes(kinds) { put(configuration) } shouldContainExactly whole(kinds)
                    }
                }
            }

            it("and others follow it completes all answers") {
                start()
                outcomes(all) {
                    listOf(added, moved, dropped, retimed, moved).forEach { configuration ->
                        put(configuration)
                        delay(CHANGE_PERIOD_MILLISECONDS)
                    }
                } shouldContainExactly whole(all)
            }
        }

        describe("a target that falls silent") {
            it("for good is replaced by another one for requests that may run again") {
                start(silenceMilliseconds = null)
                outcomes(MAY_RUN_AGAIN) { register(other) } shouldContainExactly whole(MAY_RUN_AGAIN)
            }

            it("and goes on serves new requests at once if it is the only one") {
                start()
                outcomes(MAY_RUN_AGAIN)
                listOf("/calls/new", "/orders/new", "/streams/new", "/chats/new").forEach { outcome(it) shouldBe WHOLE }
            }

            it("and goes on serves new requests when another one that served meanwhile is gone") {
                start()
                outcomes(MAY_RUN_AGAIN) { register(other) }
                delay(SILENCE_MILLISECONDS)
                silent.receivedRequests.clear()
                fixture.store.putRegistration(other.id, null)
                fixture.eventually {
                    outcome("/calls/new") shouldBe WHOLE
                    silent.receivedRequests.isNotEmpty()
                }
            }

            it("and answers a request that arrives meanwhile") {
                start()
                outcomes(MAY_RUN_AGAIN) {
                    delay(SILENCE_MILLISECONDS * 2 / 3)
                    outcome("/orders/meanwhile") shouldBe WHOLE
                }
            }
        }

        describe("a target that falls silent and refuses connections meanwhile") {
            it("is not taken for one that crashed on its request") {
                start()
                silent.script = SOUND_SCRIPT
                var isSilent = false
                lateinit var raw: RawTargetStandIn
                raw =
                    RawTargetStandIn({ headers ->
                        if (isSilent) {
                            raw.stop()
                            Thread.sleep(SILENCE_MILLISECONDS)
                        }
                        val id = headers.lines().first { it.startsWith("x-request-id", ignoreCase = true) }
                        "HTTP/1.1 200 OK\r\n$id\r\nX-Response-Seal: seal\r\n\r\n$WHOLE_ANSWER"
                    }, ConnectionEnd.CLOSE)
                raw.start()
                val registration = silent.registration("models", "domain")
                fixture.store.putRegistration(silent.id, null)
                fixture.eventually { fixture.send("/calls/first").status == 503 }
                fixture.store.putRegistration(
                    "raw",
                    registration.replace("127.0.0.1:${silent.port}", "127.0.0.1:${raw.port}"),
                )
                fixture.eventually { outcome("/calls/first") == WHOLE }
                isSilent = true
                val outcome = outcome("/calls/x")
                val metrics = fixture.metrics()
                metrics shouldContain "toucanrelay_crash_suspects{condition=\"suspected\"} 0.0"
                metrics shouldContain "toucanrelay_crash_suspects{condition=\"quarantined\"} 0.0"
                outcome shouldBe WHOLE
            }
        }
    })
