@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart

private const val DIGESTS = 100
private const val MAX_AGE_DIGESTS = 15

private fun prompt(number: Int, parts: Int) = List(parts) { PromptPart("$number-$it".padStart(32, 'p'), 2) }

/** Guards against prompt reads that wait behind a queue which never empties, and against their growth. */
class RecentPromptReadsTest :
    DescribeSpec({
        it("takes what prompts that begin alike have in common once") {
            val reads = RecentPromptReads()
            repeat(20) { reads.record(TargetId("t"), prompt(1, 32) + prompt(it + 2, 1)) }
            reads.takeForOwnRegion().count { entry -> entry.parts.any { it.id == prompt(1, 1).single().id } } shouldBe 1
            reads.takeForOwnRegion() shouldBe emptyList()
            reads.takeForOtherRegions().shouldNotBeEmpty()
        }

        it("puts what was not sent before what came since") {
            val reads = RecentPromptReads()
            reads.record(TargetId("t"), prompt(1, 2))
            val taken = reads.takeForOwnRegion()
            reads.record(TargetId("t"), prompt(2, 2))
            reads.returnForOwnRegion(taken)
            reads.takeForOwnRegion().first() shouldBe taken.single()
        }

        listOf(6, 10, 48).forEach { perDigest ->
            it("sends only recent entries in each digest at $perDigest prompts of 1,150 unlike parts per digest") {
                val reads = RecentPromptReads()
                repeat(DIGESTS) { digest ->
                    repeat(perDigest) { reads.record(TargetId("t"), prompt(digest * perDigest + it, 1_150)) }
                    val encoded =
                        DigestEncoder.encode(
                            MemberDigest("i", 1, digest.toLong(), reads = reads.takeForOwnRegion()),
                        )
                    reads.returnForOwnRegion(encoded.unsentReads)
                    val sent = encoded.datagrams.flatMap { ProtoBuf.decodeFromByteArray<MemberDigest>(it).reads }
                    sent.shouldNotBeEmpty()
                    digest - numberOf(sent.first()) / perDigest shouldBeLessThanOrEqualTo MAX_AGE_DIGESTS
                }
            }
        }
    })

private fun numberOf(entry: PromptReadEntry): Int =
    entry.parts
        .first()
        .id
        .trimStart('p')
        .substringBefore('-')
        .toInt()
