package toucanrelay.gateway.http

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import toucanrelay.core.configuration.Configuration
import toucanrelay.core.configuration.Organisation
import toucanrelay.core.configuration.Route
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.placement.PromptProfile

/**
 * A caller's request that the configuration allows.
 *
 * @property service the service that was chosen for it.
 * @property prompt set when [service] has model engines and the request describes its prompt.
 * @property lastEventId the event after which the caller wants a stream to go on.
 * @property arrivedAtMilliseconds when its headers were read.
 * @property endsAtMilliseconds when its final answer is due at the latest.
 * @property hasReturned whether the caller probably comes back after a refusal.
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
    val arrivedAtMilliseconds: Long,
    val endsAtMilliseconds: Long,
    val hasReturned: Boolean,
) {
    /** Who pays for the request; anonymous requests share one account. */
    val account: OrganisationId
        get() = organisation?.id ?: ANONYMOUS

    /** How urgent the request is among those of its organisation; 0 is the most urgent. */
    val rank: Int
        get() = organisation?.rank ?: route.rank

    /** Whether a target in [region] may serve the request. */
    fun allows(region: RegionId?): Boolean {
        val ofRoute = route.allowedRegions
        val ofOrganisation = organisation?.allowedRegions.orEmpty()
        return (ofRoute.isEmpty() || region in ofRoute) && (ofOrganisation.isEmpty() || region in ofOrganisation)
    }

    internal companion object {
        /** The account of all requests without an organisation. */
        val ANONYMOUS = OrganisationId("")
    }
}
