package toucanrelay.core.target

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.core.stream.ServiceVersion

/** Network address of a target. */
public data class TargetAddress(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/**
 * The registration published by a target.
 *
 * @property incarnation number of the target's run, higher after each start; zero if the target does not report it.
 * @property version version of the software that the run consists of.
 * @property isLeaving whether the target is about to stop and accepts no new requests.
 * @property coldMilliseconds remaining cold start time at the time of registration.
 */
public data class TargetRegistration(
    public val id: TargetId,
    public val service: String,
    public val address: TargetAddress,
    public val failureDomain: FailureDomainId,
    public val incarnation: Incarnation,
    public val version: SoftwareVersion = SoftwareVersion.UNREPORTED,
    public val slots: Int,
    public val isLeaving: Boolean,
    public val coldMilliseconds: Long,
) {
    /** The version and the service whose software it is. */
    public val serviceVersion: ServiceVersion
        get() = ServiceVersion(service, version)
}
