package toucanrelay.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import toucanrelay.platform.standin.ReceivedResponse

private const val STREAMS = 20
private val MIXED_VERSIONS = listOf("v1", "v2", "v1", "v2")

/** Guards against streams that hold events of two software versions, within an answer or over a caller's requests. */
class JoinedVersionsTest :
    DescribeSpec({
        lateinit var fixture: VersionedFleetFixture

        suspend fun start(versions: List<String> = MIXED_VERSIONS, gateways: Int = 1, joining: String? = null) {
            fixture = VersionedFleetFixture(versions, joining)
            fixture.start(gateways)
        }

        /** Checks that [answer] goes on with [stream] to its end, at the version that began it. */
        fun shouldGoOn(stream: BrokenStream, answer: ReceivedResponse) {
            withClue("${stream.versions} ${answer.status} ${answer.body}") {
                answer.status shouldBe 200
                VersionedFleetFixture.versionsIn(answer.body) shouldBe stream.versions
                answer.body shouldContain "id: ${VersionedFleetFixture.EVENTS}"
            }
        }

        /** Checks that [answer] refuses for good to go on with a stream. */
        fun shouldBeRefused(answer: ReceivedResponse) {
            withClue("${answer.status} ${answer.body}") {
                answer.status shouldBe 503
                answer.headers["retry-after"].shouldBeNull()
            }
        }

        afterEach { fixture.stop() }

        describe("a stream that its target cuts off while two versions serve") {
            it("goes on in its answer only at the version that began it") {
                start()
                val answers = List(STREAMS) { fixture.stream() }
                answers.filter { VersionedFleetFixture.versionsIn(it.body).size != 1 }.shouldBeEmpty()
                answers.filter { it.isComplete } shouldHaveSize STREAMS
            }

            it("is broken off if no other target runs that version") {
                start(listOf("v1", "v2"))
                val answers = List(STREAMS) { fixture.stream() }
                answers.filter { VersionedFleetFixture.versionsIn(it.body).size != 1 || it.isComplete }.shouldBeEmpty()
            }
        }

        describe("a stream that its caller takes up again while two versions serve") {
            it("goes on at its version at the gateway that served the first part") {
                start()
                repeat(STREAMS) {
                    val stream = fixture.breakStream()
                    shouldGoOn(stream, fixture.takeUp(stream))
                }
            }

            it("goes on at its version at another gateway") {
                start(gateways = 2)
                val streams = List(STREAMS) { fixture.breakStream(gateway = 0) }
                fixture.awaitExchange()
                streams.forEach { shouldGoOn(it, fixture.takeUp(it, gateway = 1)) }
            }

            // Guards against streams of a killed or suspended gateway that nobody else knows when another version comes.
            it("goes on at another gateway if only one version served until its own was killed") {
                start(listOf("v1", "v1", "v2"), gateways = 2, joining = "v2")
                val streams = List(STREAMS) { fixture.breakStream(gateway = 0) }
                fixture.awaitExchange()
                fixture.killGateway(0)
                fixture.join("v2")
                streams.forEach { shouldGoOn(it, fixture.takeUp(it, gateway = 1)) }
            }

            it("goes on at its version each time that it is taken up") {
                start()
                fixture.breakOneOfEach().forEach { stream ->
                    (3..5).forEach { shouldGoOn(stream, fixture.takeUp(stream, lastEventId = it)) }
                }
            }

            it("is refused for good if nothing is known of it") {
                start()
                repeat(STREAMS) { shouldBeRefused(fixture.takeUp(BrokenStream("unheard-of-$it", 3, emptySet()))) }
            }
        }

        describe("a stream that its caller takes up again once its version has left") {
            it("is refused for good") {
                start()
                val (first, second) = fixture.breakOneOfEach().sortedBy { it.versions.single() }
                fixture.withdraw("v1")
                fixture.awaitExchange()
                shouldBeRefused(fixture.takeUp(first))
                shouldGoOn(second, fixture.takeUp(second))
            }

            it("is refused for good by a gateway that has started since") {
                start()
                val (first, second) = fixture.breakOneOfEach().sortedBy { it.versions.single() }
                fixture.awaitStored()
                fixture.killAllGateways()
                fixture.withdraw("v1")
                fixture.startGateway()
                shouldBeRefused(fixture.takeUp(first, gateway = 1))
                shouldGoOn(second, fixture.takeUp(second, gateway = 1))
            }
        }

        describe("a stream that its caller takes up again after all gateways were killed") {
            it("goes on at its version if the store has it") {
                start(gateways = 2)
                val streams = fixture.breakOneOfEach(gateway = 0)
                fixture.awaitStored()
                fixture.killAllGateways()
                fixture.startGateway()
                streams.forEach { shouldGoOn(it, fixture.takeUp(it, gateway = 2)) }
            }

            it("is refused for good if the store does not have it") {
                start()
                fixture.killAllGateways()
                fixture.startGateway()
                shouldBeRefused(fixture.takeUp(BrokenStream("unheard-of", 3, emptySet()), gateway = 1))
            }
        }

        // Guards against a version derived from registrations that lack the one that has begun streams elsewhere.
        describe("a stream that its caller takes up at a gateway that knows a single version") {
            it("is refused for good if another version is registered by then") {
                start(listOf("v1", "v2"), joining = "v2")
                fixture.join("v2")
                shouldBeRefused(fixture.takeUp(BrokenStream("begun-elsewhere", 3, emptySet())))
            }

            it("is refused for now while the registrations cannot be read") {
                start(listOf("v1"))
                val unknown = BrokenStream("begun-elsewhere", 3, emptySet())
                fixture.setStoreAway(true)
                val refused = fixture.takeUp(unknown)
                refused.status shouldBe 503
                refused.headers["retry-after"].shouldNotBeNull()
                fixture.setStoreAway(false)
                withTimeout(TIMEOUT_MILLISECONDS) { while (fixture.takeUp(unknown).status != 200) delay(50) }
            }
        }

        describe("a stream that its caller takes up again while one version serves") {
            it("goes on, also at a gateway that has started since and knows nothing of it") {
                start(listOf("v1", "v1"))
                val stream = fixture.breakStream()
                shouldGoOn(stream, fixture.takeUp(stream))
                fixture.killAllGateways()
                fixture.startGateway()
                shouldGoOn(stream, fixture.takeUp(stream, gateway = 1))
            }
        }
    })
