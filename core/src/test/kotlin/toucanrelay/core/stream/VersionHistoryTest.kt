package toucanrelay.core.stream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.time.ManualClock

private const val RETENTION_MILLISECONDS = 1_000L
private val FIRST = ServiceVersion("service", SoftwareVersion("v1"))
private val SECOND = ServiceVersion("service", SoftwareVersion("v2"))
private val OTHER = ServiceVersion("other", SoftwareVersion("v2"))

class VersionHistoryTest :
    DescribeSpec({
        describe("the versions of a service") {
            it("are those that were registered recently") {
                val clock = ManualClock()
                val history = VersionHistory(clock) { RETENTION_MILLISECONDS }
                history.record(FIRST, agoMilliseconds = 400)
                history.record(SECOND)
                history.record(OTHER)
                history.versionsOf("service") shouldContainExactlyInAnyOrder listOf(FIRST.version, SECOND.version)
                history.recentVersions() shouldBe mapOf(FIRST to 400L, SECOND to 0L, OTHER to 0L)
                clock.advance(601)
                history.versionsOf("service") shouldContainExactlyInAnyOrder listOf(SECOND.version)
                history.recentVersions().keys shouldBe setOf(SECOND, OTHER)
                clock.advance(400)
                history.versionsOf("service").shouldBeEmpty()
            }

            it("are as old as their first sighting, until they are forgotten") {
                val clock = ManualClock()
                val history = VersionHistory(clock) { RETENTION_MILLISECONDS }
                history.ageMilliseconds(FIRST) shouldBe 0
                history.record(FIRST)
                clock.advance(700)
                history.record(FIRST, agoMilliseconds = 300, ageMilliseconds = 900)
                history.record(FIRST)
                history.ageMilliseconds(FIRST) shouldBe 900
                clock.advance(1_001)
                history.versionsOf("service").shouldBeEmpty()
                history.ageMilliseconds(FIRST) shouldBe 0
            }

            it("keep the latest time at which each was registered") {
                val clock = ManualClock()
                val history = VersionHistory(clock) { RETENTION_MILLISECONDS }
                history.record(FIRST)
                history.record(FIRST, agoMilliseconds = 900)
                clock.advance(800)
                history.versionsOf("service") shouldContainExactlyInAnyOrder listOf(FIRST.version)
            }
        }
    })
