@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoType

/** Load that a member has at one target. */
@Serializable
internal class TargetLoadEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val requests: Int,
    @ProtoNumber(3) val unreadTokens: Long,
    @ProtoNumber(4) val memoryTokens: Long,
    @ProtoNumber(5) val readTokensPerSecond: Int,
)

/** A prompt part that an engine has probably cached. */
@Serializable
internal data class PromptPartEntry(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val tokens: Int,
)

/** Shared prompt parts, in order, that a member sent to an engine. */
@Serializable
internal data class PromptReadEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val parts: List<PromptPartEntry>,
)

/**
 * Demanded and served rate of an organisation at a member, in charged tokens per second.
 *
 * @property regions the regions that may serve the requests; empty for all.
 */
@Serializable
internal class UsageEntry(
    @ProtoNumber(1) val organisation: String,
    @ProtoNumber(2) val demanded: Int,
    @ProtoNumber(3) val served: Int,
    @ProtoNumber(4) val regions: List<String> = emptyList(),
)

/**
 * Rate served by the engines of a region to a member, in charged tokens per second.
 *
 * @property region empty if the member does not know the region.
 */
@Serializable
internal class RegionServedEntry(
    @ProtoNumber(1) val region: String,
    @ProtoNumber(2) val served: Int,
)

/** Age of a member's copy of a table of the store, and the era of the store that it was read in. */
@Serializable
internal class TableAgeEntry(
    @ProtoNumber(1) val table: String,
    @ProtoNumber(2) val ageMilliseconds: Long,
    @ProtoNumber(3) val era: Long = 0,
)

/**
 * Crash of a run of a target.
 *
 * @property agoMilliseconds time since the crash, on the sending member's clock.
 */
@Serializable
internal class CrashEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val incarnation: Long,
    @ProtoNumber(3) val host: String,
    @ProtoNumber(4) val port: Int,
    @ProtoNumber(5) val agoMilliseconds: Long,
)

/**
 * Evidence on a prompt part or a request that may crash targets.
 *
 * @property suspect id of the part, or fingerprint of the request.
 * @property answeredAgoMilliseconds time since a target last wrote an answer on it; null if none is known.
 */
@Serializable
internal class CrashEvidenceEntry(
    @ProtoNumber(1) val suspect: String,
    @ProtoNumber(2) val crashes: List<CrashEntry> = emptyList(),
    @ProtoNumber(3) val answeredAgoMilliseconds: Long? = null,
    @ProtoNumber(4) val isRequest: Boolean = false,
)

/** Requests per second that callers send to a member for a service. */
@Serializable
internal class ServiceDemandEntry(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val requestsPerSecond: Float,
)

/**
 * Limit that a run of a target stated to the sending member.
 *
 * @property requestsPerSecond null if the target states no limit any more.
 * @property agoMilliseconds time since the statement, on the sending member's clock.
 */
@Serializable
internal class StatedLimitEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val incarnation: Long,
    @ProtoNumber(3) val requestsPerSecond: Double? = null,
    @ProtoNumber(4) val agoMilliseconds: Long = 0,
)

/** Run of a target that said in an answer to the sending member that it is leaving. */
@Serializable
internal class LeavingRunEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val incarnation: Long,
)

/**
 * A stream whose first event the sending member passed on.
 *
 * @property key hash of the id of the request whose answer brought the first event.
 * @property remainingMilliseconds time for which callers can still resume the stream.
 */
@Serializable
internal class StreamEntry(
    @ProtoNumber(1) @ProtoType(ProtoIntegerType.FIXED) val key: Long,
    @ProtoNumber(2) val remainingMilliseconds: Long,
)

/** Streams that targets of one software version of a service began. */
@Serializable
internal class StreamOriginsEntry(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val version: String,
    @ProtoNumber(3) val streams: List<StreamEntry> = emptyList(),
)

/**
 * A software version of a service that has had several recently.
 *
 * @property agoMilliseconds time since the sending member last knew a registered target of that version.
 * @property ageMilliseconds time since any member first knew one.
 */
@Serializable
internal class ServiceVersionEntry(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val version: String,
    @ProtoNumber(3) val agoMilliseconds: Long = 0,
    @ProtoNumber(4) val ageMilliseconds: Long = 0,
)

/**
 * Summary of a member's state, which it sends to the others several times per second.
 *
 * @property incarnation start of the member's run, in milliseconds since 1970.
 * @property sequence increases with each digest of a run.
 * @property isLeaving whether the member is shutting down.
 * @property isReady whether the member tells the load balancer that it takes new connections.
 * @property knowsVersions whether the member knows the software versions that were in service before it started.
 * @property tables copies of tables that other members can read.
 * @property part zero-based number of this part of the digest; each part has the fields that are no lists of entries.
 * @property parts number of the digest's parts.
 */
@Serializable
internal class MemberDigest(
    @ProtoNumber(1) val instance: String,
    @ProtoNumber(2) val incarnation: Long,
    @ProtoNumber(3) val sequence: Long,
    @ProtoNumber(4) val isLeaving: Boolean = false,
    @ProtoNumber(5) val loads: List<TargetLoadEntry> = emptyList(),
    @ProtoNumber(6) val usage: List<UsageEntry> = emptyList(),
    @ProtoNumber(7) val reads: List<PromptReadEntry> = emptyList(),
    @ProtoNumber(8) val failureDomain: String = "",
    @ProtoNumber(9) val tables: List<TableAgeEntry> = emptyList(),
    @ProtoNumber(10) val servedByRegion: List<RegionServedEntry> = emptyList(),
    @ProtoNumber(11) val crashEvidence: List<CrashEvidenceEntry> = emptyList(),
    @ProtoNumber(12) val isReady: Boolean = true,
    @ProtoNumber(13) val demand: List<ServiceDemandEntry> = emptyList(),
    @ProtoNumber(14) val statedLimits: List<StatedLimitEntry> = emptyList(),
    @ProtoNumber(15) val leavingRuns: List<LeavingRunEntry> = emptyList(),
    @ProtoNumber(16) val streamOrigins: List<StreamOriginsEntry> = emptyList(),
    @ProtoNumber(17) val versions: List<ServiceVersionEntry> = emptyList(),
    @ProtoNumber(18) val knowsVersions: Boolean = false,
    @ProtoNumber(19) val part: Int = 0,
    @ProtoNumber(20) val parts: Int = 1,
)
