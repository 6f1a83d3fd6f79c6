package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import toucanrelay.platform.standin.configurationDocument

private const val SEED = 40L
private const val FORMS = 64
private const val CALLERS = 6
private const val MIN_SOUND_CALLS = 10

/** Time of the routes to the spoiled targets, after which such a request ends. */
private const val SPOILED_TIMEOUT_MILLISECONDS = 1_000L

/** Time of the sound calls, which is the shortest one of a route that the users name. */
private const val SOUND_DEADLINE_MILLISECONDS = 1_000L

private fun configuration(version: Long) =
    configurationDocument(version) {
        route("/calls/", "models", "idempotent")
        route("/spoiled-calls/", "spoiled", "non_idempotent", 1, timeoutMilliseconds = SPOILED_TIMEOUT_MILLISECONDS)
        route("/spoiled-streams/", "spoiled", "streaming", 1, timeoutMilliseconds = SPOILED_TIMEOUT_MILLISECONDS)
        service("models")
        service("spoiled")
        organisation("one", KEY)
    }

/** Guards against a target whose answer without end keeps the event loop from all other callers: review, case 3. */
class EndlessAnswersTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        val forms = EndlessAnswerGrammar(SEED).draw(FORMS)

        beforeSpec {
            fixture = GatewayFixture()
            fixture.start()
            fixture.store.putConfiguration(configuration(2))
            fixture.eventually { fixture.send("/spoiled-calls/x").body.startsWith("no-target") }
        }

        afterSpec { fixture.kill() }

        /** Registers a target that sends [form] and returns it once a caller has reached it. */
        suspend fun startTarget(form: EndlessForm, number: Int, path: String): EndlessTargetStandIn {
            val target = EndlessTargetStandIn(fixture.vertx, form.start, form.filler)
            target.start()
            val sound = fixture.targets[0]
            val registration =
                sound.registration("spoiled", "domain").replace("127.0.0.1:${sound.port}", "127.0.0.1:${target.port}")
            fixture.store.putRegistration("spoiled-$number", registration)
            fixture.eventually {
                DrainingCaller(fixture.callersPort, path, SPOILED_TIMEOUT_MILLISECONDS).close()
                target.requests.get() > 0
            }
            return target
        }

        /** Sends sound calls until [isOver], and some at least; returns the answers that are not whole. */
        suspend fun lostCallsUntil(isOver: () -> Boolean): List<String> {
            val lost = mutableListOf<String>()
            var calls = 0
            while (calls < MIN_SOUND_CALLS || !isOver()) {
                calls++
                val answer = fixture.send("/calls/x", deadlineMilliseconds = SOUND_DEADLINE_MILLISECONDS)
                if (answer.status != 200 || answer.body != "hello") lost += "${answer.status} ${answer.body}"
            }
            return lost
        }

        describe("targets that send without end to several callers at once, who read as fast as they can") {
            forms.forEachIndexed { number, form ->
                it("keep no answer from the callers of sound targets, $number: ${form.name}") {
                    val path = if (form.isStream) "/spoiled-streams/x" else "/spoiled-calls/x"
                    val target = startTarget(form, number, path)
                    val callers =
                        List(CALLERS) { DrainingCaller(fixture.callersPort, path, SPOILED_TIMEOUT_MILLISECONDS) }
                    try {
                        lostCallsUntil { callers.all { it.hasEnded } }.shouldBeEmpty()
                        fixture.eventually { target.answering.get() == 0 }
                    } finally {
                        callers.forEach { it.close() }
                        fixture.store.putRegistration("spoiled-$number", null)
                    }
                }
            }
        }
    })
