package toucanrelay.gateway.stream

import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.stream.StreamKey
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.Refusal

/**
 * Decides which version continues the streams that callers resume, and records which one begins new ones.
 *
 * Of a stream of which nothing is known, the version is derived only from registrations that were read after its caller
 * resumed it: an older copy may lack the version that began it at another member a moment ago.
 */
internal class TakeUps(
    private val memory: StreamMemory,
    private val registrations: RegistrationRefresh,
    private val onTakeUp: (VersionSource) -> Unit,
) {
    /** Returns at which version [request] can be served. */
    suspend fun decide(request: CallerRequest): TakeUp {
        if (!isTakeUp(request)) return TakeUp.None
        val decision = knownOrigin(request) ?: derive(request)
        onTakeUp(if (decision is TakeUp.Continue) decision.source else VersionSource.UNKNOWN)
        return decision
    }

    /** Records that a target of [version] begins or continues the stream of [request]. */
    fun recordEvent(request: CallerRequest, version: SoftwareVersion) {
        val first = if (isTakeUp(request)) request.resumes ?: return else request.id
        memory.recordOwn(
            StreamKey.of(first),
            ServiceVersion(request.service.name, version),
            request.callerDeadlineAtMilliseconds + DEADLINE_MARGIN_MILLISECONDS,
        )
    }

    private fun isTakeUp(request: CallerRequest) =
        request.route.kind == RouteKind.STREAMING && request.lastEventId != null

    private fun knownOrigin(request: CallerRequest): TakeUp? {
        val stream = request.resumes?.let { StreamKey.of(it) } ?: return null
        val origin = memory.origins.find(stream) ?: return null
        return TakeUp.Continue(origin.version, sourceOf(origin.source), memory.origins.ageMilliseconds(stream))
    }

    /** Derives the version of the stream that [request] resumes, of which nothing is known, from those of its service. */
    private suspend fun derive(request: CallerRequest): TakeUp {
        if (!memory.isRestored) return TakeUp.Refuse(Refusal.VERSIONS_NOT_READ, "earlier versions are not read")
        val service = request.service.name
        refusalOf(memory.versionsOf(service))?.let { return it }
        val isCurrent = withTimeoutOrNull(MAX_REFRESH_MILLISECONDS) { registrations.refresh() } ?: false
        knownOrigin(request)?.let { return it }
        if (!isCurrent) return TakeUp.Refuse(Refusal.VERSIONS_NOT_READ, "present versions are not read")
        val versions = memory.versionsOf(service)
        return refusalOf(versions) ?: TakeUp.Continue(versions.single(), VersionSource.ONLY_VERSION, null)
    }

    /** Returns why no version can be derived from [versions], all that are known of a service; null if one can be. */
    private fun refusalOf(versions: Set<SoftwareVersion>): TakeUp.Refuse? =
        when {
            versions.isEmpty() -> TakeUp.Refuse(Refusal.NO_TARGET, "no versions")
            versions.size > 1 -> TakeUp.Refuse(Refusal.VERSION_UNKNOWN, "versions ${versions.joinToString(" ")}")
            memory.mayMissVersions -> TakeUp.Refuse(Refusal.VERSION_UNKNOWN, "versions may have been missed")
            else -> null
        }

    private fun sourceOf(source: OriginSource): VersionSource =
        when (source) {
            OriginSource.OWN -> VersionSource.OWN
            OriginSource.MEMBER -> VersionSource.MEMBER
            OriginSource.STORE -> VersionSource.STORE
        }

    private companion object {
        /** Leaves a caller the time to ask another member, which may reach the store. */
        const val MAX_REFRESH_MILLISECONDS = 1_000L

        /** Time that a caller's last request may take on its way. */
        const val DEADLINE_MARGIN_MILLISECONDS = 1_000L
    }
}
