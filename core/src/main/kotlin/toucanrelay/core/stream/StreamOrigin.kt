package toucanrelay.core.stream

import toucanrelay.core.identity.SoftwareVersion

/** From where an instance knows the version that began a stream. */
public enum class OriginSource {
    /** It has passed on events of the stream itself. */
    OWN,

    /** Another instance has told it. */
    MEMBER,

    /** It has read it from the store. */
    STORE,
}

/**
 * The software version that began a stream; only targets of that version can continue it.
 *
 * @property service the service to which the targets belong.
 * @property expiresAtMilliseconds clock reading after which no caller resumes the stream any more.
 */
public data class StreamOrigin(
    public val service: String,
    public val version: SoftwareVersion,
    public val source: OriginSource,
    public val expiresAtMilliseconds: Long,
) {
    /** The version and its service. */
    public val serviceVersion: ServiceVersion
        get() = ServiceVersion(service, version)
}
