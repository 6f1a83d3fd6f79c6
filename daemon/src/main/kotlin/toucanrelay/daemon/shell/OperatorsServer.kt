package toucanrelay.daemon.shell

import com.github.michaelbull.result.fold
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.http.RequestFramingGuard
import toucanrelay.store.bundle.BundleError

/** HTTP server for metrics, health checks and the direct upload of bundles by operators. */
internal class OperatorsServer(
    private val vertx: Vertx,
    private val meters: PrometheusMeterRegistry,
    private val bundleUploads: BundleUploadHandler,
    private val status: () -> StatusDocument,
) {
    private var server: HttpServer? = null

    /** Starts the server on [address] and returns the port that it is bound to. */
    suspend fun start(address: ListenAddress): Int {
        val started =
            vertx
                .createHttpServer(HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler { RequestFramingGuard.attachTo(it) }
                .requestHandler(router())
                .listen(address.port, address.host)
                .coAwait()
        server = started
        return started.actualPort()
    }

    /** Stops the server and closes its port. */
    suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.get("/metrics").handler { it.response().putHeader(CONTENT_TYPE, METRICS_TYPE).end(meters.scrape()) }
        router.get("/healthz").handler { it.response().end("ok\n") }
        router.get("/readyz").handler { respondWithReadiness(it) }
        router.get("/status").handler { it.endWithJson(STATUS_OK, JSON_TYPE, Json.encodeToString(status())) }
        router
            .put("/bundle")
            .handler(BodyHandler.create(false).setBodyLimit(MAX_BUNDLE_BYTES))
            .handler { handleBundle(it) }
        router.errorHandler(STATUS_NOT_FOUND) { respondWithUnknownPath(it) }
        router.errorHandler(STATUS_PAYLOAD_TOO_LARGE) { respondWithTooLarge(it) }
        return router
    }

    private fun respondWithReadiness(call: RoutingContext) {
        val isReady = status().ready
        val code = if (isReady) STATUS_OK else STATUS_UNAVAILABLE
        call.response().setStatusCode(code).end(if (isReady) "ready\n" else "not ready\n")
    }

    private fun handleBundle(call: RoutingContext) =
        bundleUploads.handle(call.body().asString().orEmpty()).fold(
            success = { call.response().setStatusCode(STATUS_NO_CONTENT).end() },
            failure = { call.endWithProblem(problemOf(it)) },
        )

    private fun respondWithUnknownPath(call: RoutingContext) =
        call.endWithProblem(
            OperatorsProblem(
                type = "/problems/unknown-path",
                title = "Nothing is served here",
                status = STATUS_NOT_FOUND,
                detail = "served are GET /metrics, /healthz, /readyz, /status and PUT /bundle",
            ),
        )

    private fun respondWithTooLarge(call: RoutingContext) =
        call.endWithProblem(
            OperatorsProblem(
                type = "/problems/bundle-too-large",
                title = "The bundle is too large",
                status = STATUS_PAYLOAD_TOO_LARGE,
                detail = "allowed are $MAX_BUNDLE_BYTES bytes",
            ),
        )

    private fun problemOf(error: BundleUploadError): OperatorsProblem =
        when (error) {
            is BundleUploadError.Refused -> {
                problemOf(error.cause)
            }

            is BundleUploadError.NotHigher -> {
                OperatorsProblem("/problems/bundle-not-higher", "The version is not higher", 409, error.detail)
            }

            BundleUploadError.NotConfirmed -> {
                OperatorsProblem("/problems/bundle-not-confirmed", "The bundle is not in force yet", 503, error.detail)
            }
        }

    private fun problemOf(error: BundleError): OperatorsProblem =
        when (error) {
            is BundleError.Malformed, is BundleError.Invalid -> {
                OperatorsProblem("/problems/bundle-invalid", "The bundle is not valid", 400, error.detail)
            }

            is BundleError.UnknownKey, is BundleError.WrongSignature -> {
                OperatorsProblem("/problems/bundle-signature", "The signature is not accepted", 403, error.detail)
            }
        }

    private fun RoutingContext.endWithProblem(problem: OperatorsProblem) =
        endWithJson(problem.status, PROBLEM_TYPE, Json.encodeToString(problem))

    private fun RoutingContext.endWithJson(status: Int, contentType: String, body: String) {
        response().setStatusCode(status).putHeader(CONTENT_TYPE, contentType).end(body)
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NO_CONTENT = 204
        const val STATUS_NOT_FOUND = 404
        const val STATUS_PAYLOAD_TOO_LARGE = 413
        const val STATUS_UNAVAILABLE = 503
        const val MAX_BUNDLE_BYTES = 16_777_216L
        const val CONTENT_TYPE = "Content-Type"
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val JSON_TYPE = "application/json"
        const val PROBLEM_TYPE = "application/problem+json"
    }
}
