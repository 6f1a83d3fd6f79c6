package toucanrelay.gateway.dispatch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.Refusal
import toucanrelay.gateway.http.RequestAcceptor
import toucanrelay.gateway.http.RequestWork

/** Creates a [RequestRunner] for each request that agrees with the configuration. */
internal class RequestRunners(
    private val dependencies: RunnerDependencies,
) : RequestAcceptor {
    override fun accept(
        request: HttpServerRequest,
        body: Buffer,
        arrivedAtMilliseconds: Long,
        responder: CallerResponder,
    ): Result<RequestWork, Refusal> =
        dependencies.intake
            .accept(request, body, arrivedAtMilliseconds)
            .map { RequestRunner(dependencies, it, responder) }
}
