package toucanrelay.gateway.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import toucanrelay.core.configuration.Configuration
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.core.configuration.Organisation
import toucanrelay.core.configuration.Route
import toucanrelay.core.configuration.WeightedService
import toucanrelay.core.identity.StableHash
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.time.Clock
import toucanrelay.gateway.dispatch.OutputEstimates
import toucanrelay.platform.CallerHeaders
import toucanrelay.platform.PlatformHeaders

/** Checks requests against the configuration and chooses their route, service and deadline. */
internal class RequestIntake(
    private val clock: Clock,
    private val register: ConfigurationRegister,
    private val estimates: OutputEstimates,
    private val maxAgeMilliseconds: () -> Long,
) {
    private val maxDeadlineMillisecondsByRoute = HashMap<String, Long>()

    /**
     * Checks [request] and returns it with the terms under which it is served, or the refusal.
     *
     * @param body the complete body of the request.
     * @param arrivedAtMilliseconds when the request arrived.
     */
    fun accept(request: HttpServerRequest, body: Buffer, arrivedAtMilliseconds: Long): Result<CallerRequest, Refusal> {
        val configuration = register.current ?: return Err(Refusal.NO_CONFIGURATION)
        if (headerBytes(request) > configuration.limits.maxHeaderBytes) return Err(Refusal.HEADERS_TOO_LARGE)
        val caller = PlatformHeaders.readCallerRequest(request.headers())
        val requestId = caller.requestId ?: return Err(Refusal.MALFORMED)
        val host = request.authority()?.host() ?: return Err(Refusal.MALFORMED)
        val route = configuration.routeOf(host, request.path().orEmpty()) ?: return Err(unknownRoute())
        val organisation = identify(configuration, route, caller).getOrElse { return Err(it) }
        val service =
            configuration.services[serviceOf(route, streamRequestId(caller) ?: requestId)]
                ?: return Err(Refusal.NO_TARGET)
        val deadline = caller.deadlineMilliseconds ?: route.timeoutMilliseconds
        return Ok(
            CallerRequest(
                id = requestId,
                method = request.method(),
                uri = request.uri(),
                headers = request.headers(),
                body = body,
                configuration = configuration,
                route = route,
                service = service,
                organisation = organisation,
                prompt = caller.prompt?.takeIf { service.engine != null }?.let { refine(it, route, organisation) },
                lastEventId = caller.lastEventId,
                resumes = caller.resumes,
                arrivedAtMilliseconds = arrivedAtMilliseconds,
                deadlineAtMilliseconds = arrivedAtMilliseconds + minOf(deadline, route.timeoutMilliseconds),
                callerDeadlineAtMilliseconds = arrivedAtMilliseconds + deadline,
                isCallerRetry = isCallerRetry(route, deadline),
            ),
        )
    }

    /** Returns the id of the request that began the stream that [caller] resumes, which determined its service. */
    private fun streamRequestId(caller: CallerHeaders): String? = caller.resumes?.takeIf { caller.lastEventId != null }

    private fun refine(prompt: PromptProfile, route: Route, organisation: Organisation?): PromptProfile =
        estimates.refine(prompt, route, organisation?.id ?: CallerRequest.ANONYMOUS)

    /** Returns whether the configuration is recent enough for the key of [organisation] to be accepted. */
    fun isKeyCurrent(organisation: Organisation?): Boolean =
        organisation == null || register.isFresh(maxAgeMilliseconds())

    /** Returns the refusal for a missing route, which an outdated configuration may not contain yet. */
    private fun unknownRoute(): Refusal =
        if (register.isFresh(maxAgeMilliseconds())) Refusal.UNKNOWN_ROUTE else Refusal.STALE_CONFIGURATION

    private fun identify(
        configuration: Configuration,
        route: Route,
        caller: CallerHeaders,
    ): Result<Organisation?, Refusal> {
        if (route.isAnonymous || !configuration.requiresKeys) return Ok(null)
        if (!register.isFresh(maxAgeMilliseconds())) return Err(Refusal.STALE_CONFIGURATION)
        val organisation = caller.key?.let { configuration.organisationOf(it) } ?: return Err(Refusal.UNKNOWN_KEY)
        return Ok(organisation)
    }

    private fun headerBytes(request: HttpServerRequest): Int =
        request.uri().length +
            request.headers().sumOf { (name, value) -> name.length + value.length + HEADER_LINE_OVERHEAD_BYTES }

    private fun serviceOf(route: Route, requestId: String): String? {
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return route.services.firstOrNull()?.service
        return serviceAt(route.services, StableHash.toUnit(StableHash.of(requestId)) * total)
    }

    private fun serviceAt(services: List<WeightedService>, point: Double): String? {
        var cumulativeWeight = 0.0
        return services
            .firstOrNull { weighted ->
                cumulativeWeight += weighted.weight
                point < cumulativeWeight
            }?.service
    }

    /** Returns whether the caller is probably retrying: its [deadline] is shorter than the longest one on the route. */
    private fun isCallerRetry(route: Route, deadline: Long): Boolean {
        val longest = maxOf(deadline, maxDeadlineMillisecondsByRoute[route.name] ?: 0)
        maxDeadlineMillisecondsByRoute[route.name] = longest
        return deadline < longest - MIN_DIFFERENCE_MILLISECONDS
    }

    private companion object {
        const val MIN_DIFFERENCE_MILLISECONDS = 40

        /** Colon, space and line end of a header line. */
        const val HEADER_LINE_OVERHEAD_BYTES = 4
    }
}
