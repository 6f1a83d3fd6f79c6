package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe

private fun part(
    sequence: Long,
    number: Int,
    count: Int,
    vararg loads: Pair<String, Int>,
    incarnation: Long = 1,
) = MemberDigest(
    instance = "member",
    incarnation = incarnation,
    sequence = sequence,
    loads = loads.map { (target, requests) -> TargetLoadEntry(target, requests, 0, 0, 0) },
    isReady = sequence % 2 == 0L,
    part = number,
    parts = count,
)

/** Guards against state of a member that is lost, or counted twice, because a part of a digest is lost or late. */
class DigestPartsTest :
    DescribeSpec({
        lateinit var parts: DigestParts

        fun receive(digest: MemberDigest, at: Long = 0) {
            if (!parts.isOutdated(digest)) parts.record(digest, at)
        }

        fun loads() = parts.loads.map { it.target to it.requests }

        beforeEach { parts = DigestParts() }

        it("joins the parts of a digest") {
            receive(part(1, 0, 2, "a" to 1))
            receive(part(1, 1, 2, "b" to 2))
            loads() shouldContainExactlyInAnyOrder listOf("a" to 1, "b" to 2)
        }

        it("keeps a part of the digest before while its own is missing, and counts the newest entry") {
            receive(part(1, 0, 2, "a" to 1))
            receive(part(1, 1, 2, "b" to 2))
            receive(part(2, 0, 2, "b" to 5))
            loads() shouldContainExactlyInAnyOrder listOf("b" to 5)
            receive(part(2, 1, 2, "c" to 6))
            loads() shouldContainExactlyInAnyOrder listOf("b" to 5, "c" to 6)
        }

        it("takes a part that arrives after one of a newer digest, and the newest says how the member is") {
            receive(part(2, 0, 2, "a" to 1))
            receive(part(1, 1, 2, "b" to 2))
            loads() shouldContainExactlyInAnyOrder listOf("a" to 1, "b" to 2)
            parts.newest?.isReady shouldBe true
        }

        it("forgets the parts that a shorter digest does not have, also if they arrive late") {
            receive(part(1, 0, 2, "a" to 1))
            receive(part(1, 1, 2, "b" to 2))
            receive(part(3, 0, 1, "c" to 3))
            receive(part(2, 1, 2, "d" to 4))
            loads() shouldContainExactlyInAnyOrder listOf("c" to 3)
        }

        it("ignores a part that is repeated or was replaced") {
            receive(part(2, 0, 1, "a" to 1))
            parts.isOutdated(part(2, 0, 1, "b" to 1)) shouldBe true
            parts.isOutdated(part(1, 0, 1, "b" to 1)) shouldBe true
        }

        it("forgets a part that is missing for long, and the parts of another run") {
            receive(part(1, 0, 2, "a" to 1))
            receive(part(1, 1, 2, "b" to 2))
            receive(part(9, 0, 2, "a" to 3), at = 2_500)
            loads() shouldContainExactlyInAnyOrder listOf("a" to 3)
            receive(part(1, 1, 2, "c" to 4, incarnation = 2), at = 2_600)
            loads() shouldContainExactlyInAnyOrder listOf("c" to 4)
        }
    })
