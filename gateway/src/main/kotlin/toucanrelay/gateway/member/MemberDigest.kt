@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** What a member has at one target. */
@Serializable
internal class TargetLoadEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val requests: Int,
    @ProtoNumber(3) val unreadTokens: Long,
    @ProtoNumber(4) val memoryTokens: Long,
    @ProtoNumber(5) val readTokensPerSecond: Int,
)

/** A prompt part that an engine keeps. */
@Serializable
internal data class PartEntry(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val tokens: Int,
)

/** Shared prompt parts, in order, that a member had an engine read. */
@Serializable
internal data class ReadEntry(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val parts: List<PartEntry>,
)

/** What an organisation asks for and gets at a member, in charged tokens a second. */
@Serializable
internal class UsageEntry(
    @ProtoNumber(1) val organisation: String,
    @ProtoNumber(2) val demanded: Int,
    @ProtoNumber(3) val served: Int,
)

/** How old a member's copy of a table of the store is. */
@Serializable
internal class TableAgeEntry(
    @ProtoNumber(1) val table: String,
    @ProtoNumber(2) val ageMilliseconds: Long,
)

/**
 * A member's state, as it tells the others several times a second.
 *
 * @property incarnation start of the member's run, in milliseconds since 1970.
 * @property sequence rises with each digest of a run.
 * @property isLeaving whether the member is about to stop.
 * @property tables copies of tables that others may ask for.
 */
@Serializable
internal class MemberDigest(
    @ProtoNumber(1) val instance: String,
    @ProtoNumber(2) val incarnation: Long,
    @ProtoNumber(3) val sequence: Long,
    @ProtoNumber(4) val isLeaving: Boolean = false,
    @ProtoNumber(5) val loads: List<TargetLoadEntry> = emptyList(),
    @ProtoNumber(6) val usage: List<UsageEntry> = emptyList(),
    @ProtoNumber(7) val reads: List<ReadEntry> = emptyList(),
    @ProtoNumber(8) val failureDomain: String = "",
    @ProtoNumber(9) val tables: List<TableAgeEntry> = emptyList(),
)
