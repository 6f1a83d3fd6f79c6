@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

/** An entry of one of the lists of a [MemberDigest]. */
internal sealed interface DigestEntry {
    /** Size of the encoded entry. */
    val encodedBytes: Int

    class Load(
        val entry: TargetLoadEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Usage(
        val entry: UsageEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Read(
        val entry: PromptReadEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class RegionServed(
        val entry: RegionServedEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Evidence(
        val entry: CrashEvidenceEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Demand(
        val entry: ServiceDemandEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Limit(
        val entry: StatedLimitEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Leaving(
        val entry: LeavingRunEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Origins(
        val entry: StreamOriginsEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    class Version(
        val entry: ServiceVersionEntry,
    ) : DigestEntry {
        override val encodedBytes: Int
            get() = sizeOf(entry)
    }

    private companion object {
        inline fun <reified T> sizeOf(entry: T): Int = ProtoBuf.encodeToByteArray(entry).size
    }
}
