package toucanrelay.core.stream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.time.ManualClock

private const val SERVICE = "service"

class StreamOriginsTest :
    DescribeSpec({
        val clock = ManualClock()
        lateinit var origins: StreamOrigins

        fun originOf(version: String, source: OriginSource = OriginSource.OWN, remaining: Long = 10_000) =
            StreamOrigin(SERVICE, SoftwareVersion(version), source, clock.nowMilliseconds() + remaining)

        fun record(id: String, origin: StreamOrigin = originOf("v1")) = origins.record(StreamKey.of(id), origin)

        fun shared(since: Long? = 0) = origins.toShare(limit = 10) { since }.map { (key, _) -> key }

        beforeEach { origins = StreamOrigins(clock, maxStreams = 3) }

        describe("the origin of a stream") {
            it("never changes") {
                record("a", originOf("v1"))
                record("a", originOf("v2"))
                origins.find(StreamKey.of("a"))?.version shouldBe SoftwareVersion("v1")
            }

            it("is known until no caller can resume the stream") {
                record("a", originOf("v1", remaining = 100))
                clock.advance(100)
                origins.find(StreamKey.of("a"))?.version shouldBe SoftwareVersion("v1")
                clock.advance(1)
                origins.find(StreamKey.of("a")) shouldBe null
                origins.cleanUp()
                origins.size shouldBe 0
            }

            it("is forgotten if many were recorded since") {
                listOf("a", "b", "c", "d").forEach { record(it) }
                origins.find(StreamKey.of("a")) shouldBe null
                origins.newest(setOf(SERVICE), limit = 2).map { it.first } shouldContainExactly
                    listOf(StreamKey.of("d"), StreamKey.of("c"))
            }
        }

        describe("the origins to share") {
            it("are the own ones, for a while after they were recorded") {
                record("own")
                record("other", originOf("v1", OriginSource.MEMBER))
                shared() shouldContainExactly listOf(StreamKey.of("own"))
                clock.advance(2_000)
                shared().shouldBeEmpty()
            }

            it("are also older ones once a service has begun to share them, and none before") {
                record("own")
                clock.advance(5_000)
                shared(since = null).shouldBeEmpty()
                shared(since = clock.nowMilliseconds()) shouldContainExactly listOf(StreamKey.of("own"))
            }
        }
    })
