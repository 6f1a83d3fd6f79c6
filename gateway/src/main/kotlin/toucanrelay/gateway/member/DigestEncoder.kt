@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

/**
 * Encodes digests into datagrams of a bounded size, whatever they contain.
 *
 * A digest that does not fit into one datagram is sent in several parts, which a receiver takes one by one
 * ([DigestParts]). What others rely on comes first: versions, streams, leaving runs, crashes, limits, loads, demand and
 * usage. Prompt reads only spare work, so they get a limited number of datagrams, and those that do not fit can wait.
 */
internal object DigestEncoder {
    /** Largest size of a datagram; a few packets of a usual link, so that a lost packet loses little. */
    const val MAX_DATAGRAM_BYTES = 4_096

    /** Largest number of datagrams for what others rely on. */
    const val MAX_PARTS = 16

    /** Largest number of datagrams for prompt reads beyond those that have place left. */
    const val MAX_READ_DATAGRAMS = 2

    /** Size of the fields that not every part has: its number, that of the parts, and `knowsVersions`. */
    private const val PART_FIELDS_BYTES = 12

    /** Size of the number and the length that precede an entry. */
    private const val ENTRY_FRAME_BYTES = 4

    /** Largest number of streams in an entry, so that it fits into any datagram. */
    private const val STREAMS_PER_ENTRY = 64

    /** Returns the datagrams of [digest]. */
    fun encode(digest: MemberDigest): DigestDatagrams {
        val whole = ProtoBuf.encodeToByteArray(digest)
        if (whole.size <= MAX_DATAGRAM_BYTES) return DigestDatagrams(listOf(whole), emptyList(), droppedEntries = 0)
        val entries = entriesOf(digest)
        val required = divide(digest, entries).take(MAX_PARTS)
        val reads = divide(digest, digest.reads.map { DigestEntry.Read(it) })
        val groups = required + reads.take(MAX_READ_DATAGRAMS)
        return DigestDatagrams(
            groups.mapIndexed { number, group -> encodePart(digest, group, number, groups.size) },
            unsentReads = reads.drop(MAX_READ_DATAGRAMS).flatMap { readsIn(it) },
            droppedEntries = entries.size - required.sumOf { it.size },
        )
    }

    private fun readsIn(entries: List<DigestEntry>) = entries.filterIsInstance<DigestEntry.Read>().map { it.entry }

    private fun encodePart(
        digest: MemberDigest,
        entries: List<DigestEntry>,
        number: Int,
        count: Int,
    ): ByteArray = ProtoBuf.encodeToByteArray(partOf(digest, entries, number, count))

    /** Divides [entries] into groups, each of which fits into a datagram; an entry that fits into none is left out. */
    private fun divide(digest: MemberDigest, entries: List<DigestEntry>): List<List<DigestEntry>> {
        val capacity =
            MAX_DATAGRAM_BYTES - PART_FIELDS_BYTES - encodePart(digest, emptyList(), number = 0, count = 1).size
        val groups = ArrayList<ArrayList<DigestEntry>>()
        var freeBytes = 0
        entries.forEach { entry ->
            val bytes = entry.encodedBytes + ENTRY_FRAME_BYTES
            if (bytes > capacity) return@forEach
            if (bytes > freeBytes) {
                groups += ArrayList<DigestEntry>()
                freeBytes = capacity
            }
            groups.last() += entry
            freeBytes -= bytes
        }
        return groups
    }

    /** Returns what others rely on, in the order in which it is sent. */
    private fun entriesOf(digest: MemberDigest): List<DigestEntry> =
        digest.versions.map { DigestEntry.Version(it) } +
            digest.streamOrigins.flatMap { it.divided() }.map { DigestEntry.Origins(it) } +
            digest.leavingRuns.map { DigestEntry.Leaving(it) } +
            digest.crashEvidence.map { DigestEntry.Evidence(it) } +
            digest.statedLimits.map { DigestEntry.Limit(it) } +
            digest.loads.map { DigestEntry.Load(it) } +
            digest.demand.map { DigestEntry.Demand(it) } +
            digest.servedByRegion.map { DigestEntry.RegionServed(it) } +
            digest.usage.map { DigestEntry.Usage(it) }

    private fun StreamOriginsEntry.divided(): List<StreamOriginsEntry> =
        streams.chunked(STREAMS_PER_ENTRY).map { StreamOriginsEntry(service, version, it) }

    private fun partOf(
        digest: MemberDigest,
        entries: List<DigestEntry>,
        number: Int,
        count: Int,
    ): MemberDigest {
        val versions = entries.filterIsInstance<DigestEntry.Version>().map { it.entry }
        return MemberDigest(
            instance = digest.instance,
            incarnation = digest.incarnation,
            sequence = digest.sequence,
            isLeaving = digest.isLeaving,
            loads = entries.filterIsInstance<DigestEntry.Load>().map { it.entry },
            usage = entries.filterIsInstance<DigestEntry.Usage>().map { it.entry },
            reads = readsIn(entries),
            failureDomain = digest.failureDomain,
            tables = digest.tables,
            servedByRegion = entries.filterIsInstance<DigestEntry.RegionServed>().map { it.entry },
            isReady = digest.isReady,
            crashEvidence = entries.filterIsInstance<DigestEntry.Evidence>().map { it.entry },
            demand = entries.filterIsInstance<DigestEntry.Demand>().map { it.entry },
            statedLimits = entries.filterIsInstance<DigestEntry.Limit>().map { it.entry },
            leavingRuns = entries.filterIsInstance<DigestEntry.Leaving>().map { it.entry },
            streamOrigins = entries.filterIsInstance<DigestEntry.Origins>().map { it.entry },
            versions = versions,
            // A receiver relies on having all versions of a member that knows them.
            knowsVersions = digest.knowsVersions && versions.size == digest.versions.size,
            part = number,
            parts = count,
        )
    }
}
