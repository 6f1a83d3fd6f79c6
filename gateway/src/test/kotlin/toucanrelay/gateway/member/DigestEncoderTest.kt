@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveAtMostSize
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

private const val SEED = 60L

private fun partIds(count: Int, length: Int) = List(count) { "$it".padStart(length, 'p') }

private fun digest(entries: Int, reads: List<PromptReadEntry> = emptyList(), nameLength: Int = 12): MemberDigest {
    val names = List(entries) { "$it".padStart(nameLength, 'n') }
    return MemberDigest(
        instance = "instance",
        incarnation = 1,
        sequence = 7,
        loads = names.map { TargetLoadEntry(it, 3, 4_000, 5_000, 600) },
        usage = names.map { UsageEntry(it, 1_000, 900, listOf("region-1", "region-2")) },
        reads = reads,
        failureDomain = "domain",
        tables = listOf(TableAgeEntry("targets", 500), TableAgeEntry("operators", 400)),
        servedByRegion = listOf(RegionServedEntry("region-1", 10_000)),
        crashEvidence = names.take(16).map { CrashEvidenceEntry(it, listOf(CrashEntry("t", 1, "10.0.0.1", 80, 5))) },
        demand = names.take(11).map { ServiceDemandEntry(it, 4f) },
        statedLimits = names.take(64).map { StatedLimitEntry(it, 1, 2.0, 3) },
        leavingRuns = names.take(64).map { LeavingRunEntry(it, 1) },
        streamOrigins = listOf(StreamOriginsEntry("s", "v1", List(entries) { StreamEntry(it.toLong(), 30_000) })),
        versions = names.take(8).map { ServiceVersionEntry(it, "v1", 5, 6) },
        knowsVersions = true,
    )
}

private fun decode(datagrams: List<ByteArray>) = datagrams.map { ProtoBuf.decodeFromByteArray<MemberDigest>(it) }

/** Returns how many of the entries between loads and usage are not in [parts]. */
private fun absentIn(parts: List<MemberDigest>): Int = 12 - parts.sumOf { it.demand.size + it.servedByRegion.size }

/** Guards against digests longer than a datagram, which are dropped with all that other members rely on. */
class DigestEncoderTest :
    DescribeSpec({
        it("encodes a digest that fits into one datagram as it is") {
            val digest = digest(entries = 10)
            val encoded = DigestEncoder.encode(digest)
            encoded.datagrams shouldHaveSize 1
            encoded.datagrams.single().toList() shouldBe ProtoBuf.encodeToByteArray(digest).toList()
        }

        it("tells all that others rely on in datagrams of a bounded size, whatever the prompts are") {
            checkAll(
                PropTestConfig(seed = SEED, iterations = 100),
                Arb.int(0..300),
                Arb.int(0..240),
                Arb.int(1..1_000),
            ) { size, reads, length ->
                val read = PromptReadEntry("target", partIds(16, length).map { PromptPartEntry(it, 5) })
                val digest = digest(size, List(reads) { read })
                val encoded = DigestEncoder.encode(digest)
                encoded.datagrams.forEach { it.size shouldBeLessThanOrEqualTo DigestEncoder.MAX_DATAGRAM_BYTES }
                encoded.droppedEntries shouldBe 0
                val parts = decode(encoded.datagrams)
                parts.flatMap { part -> part.loads.map { it.target } } shouldContainExactlyInAnyOrder
                    digest.loads.map { it.target }
                parts.flatMap { part -> part.usage.map { it.organisation } } shouldHaveSize size
                parts.sumOf { it.crashEvidence.size } shouldBe digest.crashEvidence.size
                parts.sumOf { it.statedLimits.size } shouldBe digest.statedLimits.size
                parts.sumOf { it.leavingRuns.size } shouldBe digest.leavingRuns.size
                parts.sumOf { it.demand.size } shouldBe digest.demand.size
                parts.sumOf { it.servedByRegion.size } shouldBe 1
                parts.flatMap { it.streamOrigins }.sumOf { it.streams.size } shouldBe size
                parts.sumOf { it.versions.size } shouldBe digest.versions.size
                parts.all { it.sequence == 7L && it.tables.size == 2 && it.failureDomain == "domain" } shouldBe true
            }
        }

        it("tells that all versions are known only beside all of them") {
            decode(DigestEncoder.encode(digest(entries = 300)).datagrams).filter { it.knowsVersions }.forEach {
                it.versions shouldHaveSize 8
            }
            decode(DigestEncoder.encode(digest(entries = 300, nameLength = 1_000)).datagrams)
                .filter { it.knowsVersions }
                .shouldBeEmpty()
        }

        it("counts what has no place, beginning with what matters least") {
            val encoded = DigestEncoder.encode(digest(entries = 2_000))
            encoded.datagrams shouldHaveAtMostSize DigestEncoder.MAX_PARTS
            val parts = decode(encoded.datagrams)
            parts.flatMap { it.streamOrigins }.sumOf { it.streams.size } shouldBe 2_000
            parts.sumOf { it.loads.size + it.usage.size } + encoded.droppedEntries shouldBe 4_000 + absentIn(parts)
            (encoded.droppedEntries > 0) shouldBe true
        }

        it("returns the prompt reads that have no place, in their order") {
            val reads =
                List(200) { index -> PromptReadEntry("t-$index", partIds(16, 32).map { PromptPartEntry(it, 5) }) }
            val encoded = DigestEncoder.encode(digest(entries = 10, reads))
            val sent = decode(encoded.datagrams).flatMap { it.reads }
            (sent + encoded.unsentReads) shouldBe reads
            encoded.datagrams shouldHaveSize 1 + DigestEncoder.MAX_READ_DATAGRAMS
        }
    })
