package toucanrelay.gateway.stream

import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.stream.OriginSource
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.stream.StreamKey
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.Refusal

/** Decides which version continues the streams that callers resume, and records which one begins new ones. */
internal class TakeUps(
    private val memory: StreamMemory,
    private val onTakeUp: (VersionSource) -> Unit,
) {
    /** Returns at which version [request] can be served. */
    fun decide(request: CallerRequest): TakeUp {
        if (!isTakeUp(request)) return TakeUp.None
        val decision = knownOrigin(request) ?: derive(request.service.name)
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

    /** Derives the version of a stream of which nothing is known from the versions of [service]. */
    private fun derive(service: String): TakeUp {
        val versions = memory.versionsOf(service)
        val only = versions.singleOrNull()
        return when {
            !memory.isRestored -> TakeUp.Refuse(Refusal.VERSIONS_NOT_READ, "earlier versions are not read")
            versions.isEmpty() -> TakeUp.Refuse(Refusal.NO_TARGET, "no versions")
            only == null -> TakeUp.Refuse(Refusal.VERSION_UNKNOWN, "versions ${versions.joinToString(" ")}")
            memory.isOutdated -> TakeUp.Refuse(Refusal.VERSION_UNKNOWN, "registrations are outdated")
            else -> TakeUp.Continue(only, VersionSource.ONLY_VERSION, ageMilliseconds = null)
        }
    }

    private fun sourceOf(source: OriginSource): VersionSource =
        when (source) {
            OriginSource.OWN -> VersionSource.OWN
            OriginSource.MEMBER -> VersionSource.MEMBER
            OriginSource.STORE -> VersionSource.STORE
        }

    private companion object {
        /** Time that a caller's last request may take on its way. */
        const val DEADLINE_MARGIN_MILLISECONDS = 1_000L
    }
}
