package toucanrelay.gateway.stream

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.gateway.http.Refusal

/**
 * How the version that began a resumed stream is known.
 *
 * @property label value of the counter's tag and of the log field.
 */
internal enum class VersionSource(
    val label: String,
) {
    OWN("own"),
    MEMBER("member"),
    STORE("store"),

    /** No other version has been in service recently. */
    ONLY_VERSION("only-version"),

    /** Several versions may have begun the stream. */
    UNKNOWN("unknown"),
}

/** What a request asks for, as far as its stream's version is concerned. */
internal sealed interface TakeUp {
    /** The answer starts with its first event, at any version. */
    data object None : TakeUp

    /**
     * Only targets of [version] can continue the stream.
     *
     * @property ageMilliseconds time for which the version has been known; null if it was derived.
     */
    data class Continue(
        val version: SoftwareVersion,
        val source: VersionSource,
        val ageMilliseconds: Long?,
    ) : TakeUp

    /**
     * No target can be told to have the right version.
     *
     * @property detail text for the log.
     */
    data class Refuse(
        val refusal: Refusal,
        val detail: String,
    ) : TakeUp
}
