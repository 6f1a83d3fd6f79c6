package toucanrelay.gateway.http

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpHeaders
import io.vertx.core.http.HttpMethod
import toucanrelay.core.configuration.Configuration
import toucanrelay.core.configuration.Organisation
import toucanrelay.core.configuration.Route
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.overload.UsageKey
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.quarantine.Suspect

/**
 * A caller's request that [RequestIntake] has accepted.
 *
 * @property service the service of [route] that was chosen for the request.
 * @property prompt null unless [service] has model engines and the request describes its prompt.
 * @property lastEventId last event that the caller has received of the stream that it resumes; null for a new stream.
 * @property resumes id of the request whose answer brought the first event of the stream that is resumed; null if unknown.
 * @property arrivedAtMilliseconds when the request arrived, estimated if the event loop lagged.
 * @property deadlineAtMilliseconds deadline for the complete response.
 * @property callerDeadlineAtMilliseconds until when the caller waits, also for the answer to a later request of its own.
 * @property isCallerRetry whether the request is probably a retry by the caller after a refusal.
 */
internal class CallerRequest(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val configuration: Configuration,
    val route: Route,
    val service: ServiceSettings,
    val organisation: Organisation?,
    val prompt: PromptProfile?,
    val lastEventId: Long?,
    val resumes: String?,
    val arrivedAtMilliseconds: Long,
    val deadlineAtMilliseconds: Long,
    val callerDeadlineAtMilliseconds: Long,
    val isCallerRetry: Boolean,
) {
    /** The organisation whose usage the request counts towards; anonymous requests share [ANONYMOUS]. */
    val account: OrganisationId
        get() = organisation?.id ?: ANONYMOUS

    /** Priority of the request among those of its organisation; 0 is the highest. */
    val rank: Int
        get() = organisation?.rank ?: route.rank

    /** The prompt parts that other requests may share with this one, as possible causes of crashes. */
    private val suspectParts: List<Suspect>
        get() = prompt?.sharedParts?.map { Suspect.PromptPart(it.id) }.orEmpty()

    /** The request itself as a possible cause of crashes; the same for each repetition by its caller. */
    val suspectRequest: Suspect by lazy(LazyThreadSafetyMode.NONE) {
        val host = headers.get(HttpHeaders.HOST).orEmpty()
        Suspect.Request(RequestFingerprint.of(account.value, method.name(), host, uri, body))
    }

    /** All that targets may crash on when they run the request. */
    val suspects: List<Suspect> by lazy(LazyThreadSafetyMode.NONE) { suspectParts + suspectRequest }

    /** Identifies the organisation and the regions under which the request's use of the engines is counted. */
    val usageKey: UsageKey
        get() = UsageKey(account, allowedRegions())

    /** Returns whether a target in [region] may serve the request. */
    fun allows(region: RegionId?): Boolean {
        val routeRegions = route.allowedRegions
        val organisationRegions = organisation?.allowedRegions.orEmpty()
        return (routeRegions.isEmpty() || region in routeRegions) &&
            (organisationRegions.isEmpty() || region in organisationRegions)
    }

    /** Returns the regions whose targets may serve the request; empty for all. */
    private fun allowedRegions(): Set<RegionId> {
        val organisationRegions = organisation?.allowedRegions.orEmpty()
        if (organisationRegions.isEmpty()) return route.allowedRegions
        return if (route.allowedRegions.isEmpty()) {
            organisationRegions
        } else {
            organisationRegions intersect
                route.allowedRegions
        }
    }

    internal companion object {
        /** The account of all requests without an organisation. */
        val ANONYMOUS = OrganisationId("")
    }
}
