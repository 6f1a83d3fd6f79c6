package toucanrelay.daemon.shell

import com.github.michaelbull.result.fold
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.store.bundle.BundleError

/** Serves metrics, health and bundles that operators hand over directly. */
internal class OperatorsServer(
    private val vertx: Vertx,
    private val meters: PrometheusMeterRegistry,
    private val offer: BundleOffer,
    private val status: () -> StatusDocument,
) {
    private var server: HttpServer? = null

    /** Binds [address] and returns the port's number. */
    suspend fun start(address: ListenAddress): Int {
        val started =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(address.port, address.host)
                .coAwait()
        server = started
        return started.actualPort()
    }

    /** Frees the port. */
    suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.get("/metrics").handler { it.response().putHeader(CONTENT_TYPE, METRICS_TYPE).end(meters.scrape()) }
        router.get("/healthz").handler { it.response().end("ok\n") }
        router.get("/readyz").handler { answerReadiness(it) }
        router.get("/status").handler { it.endWithJson(STATUS_OK, JSON_TYPE, Json.encodeToString(status())) }
        router
            .put("/bundle")
            .handler(BodyHandler.create(false).setBodyLimit(BUNDLE_BYTES))
            .handler { answerBundle(it) }
        router.errorHandler(STATUS_NOT_FOUND) { answerUnknownPath(it) }
        router.errorHandler(STATUS_TOO_LARGE) { answerTooLarge(it) }
        return router
    }

    private fun answerReadiness(call: RoutingContext) {
        val isReady = status().ready
        val code = if (isReady) STATUS_OK else STATUS_UNAVAILABLE
        call.response().setStatusCode(code).end(if (isReady) "ready\n" else "not ready\n")
    }

    private fun answerBundle(call: RoutingContext) =
        offer.offer(call.body().asString().orEmpty()).fold(
            success = { call.response().setStatusCode(STATUS_NO_CONTENT).end() },
            failure = { call.endWithProblem(problemOf(it)) },
        )

    private fun answerUnknownPath(call: RoutingContext) =
        call.endWithProblem(
            OperatorsProblem(
                type = "/problems/unknown-path",
                title = "Nothing is served here",
                status = STATUS_NOT_FOUND,
                detail = "served are GET /metrics, /healthz, /readyz, /status and PUT /bundle",
            ),
        )

    private fun answerTooLarge(call: RoutingContext) =
        call.endWithProblem(
            OperatorsProblem(
                type = "/problems/bundle-too-large",
                title = "The bundle is too large",
                status = STATUS_TOO_LARGE,
                detail = "allowed are $BUNDLE_BYTES bytes",
            ),
        )

    private fun problemOf(error: OfferError): OperatorsProblem =
        when (error) {
            is OfferError.Refused -> {
                problemOf(error.cause)
            }

            is OfferError.NotHigher -> {
                OperatorsProblem("/problems/bundle-not-higher", "The version is not higher", 409, error.detail)
            }

            OfferError.NotConfirmed -> {
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
        const val STATUS_TOO_LARGE = 413
        const val STATUS_UNAVAILABLE = 503
        const val BUNDLE_BYTES = 16_777_216L
        const val CONTENT_TYPE = "Content-Type"
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val JSON_TYPE = "application/json"
        const val PROBLEM_TYPE = "application/problem+json"
    }
}
