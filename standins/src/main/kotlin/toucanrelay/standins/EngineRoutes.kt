package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import java.util.UUID

private const val REQUEST_ID = "X-Request-Id"
private const val LAST_EVENT_ID = "Last-Event-ID"

/**
 * The HTTP interface of a [ModelEngine].
 *
 * @param scope scope of coroutines on the engine's event loop.
 * @param core engine that handles the requests.
 * @param connections open connections; requests on frozen ones are not answered.
 */
internal class EngineRoutes(
    private val scope: CoroutineScope,
    private val core: EngineCore,
    private val connections: FreezableConnections,
) {
    fun router(vertx: Vertx): Router {
        val router = Router.router(vertx)
        router.route().handler { if (!connections.isFrozen(it.request().connection())) it.next() }
        router.post("/v1/chat/completions").handler(::complete)
        router.get("/v1/models").handler { call ->
            call.response().endWithJson(ModelList(core.models.models().map { ModelEntry(it) }))
        }
        router.get("/v1/streams/:id").handler(::resume)
        router.get("/v1/streams/:id/state").handler(::state)
        router.delete("/v1/streams/:id").handler(::cancel)
        router.get("/load").handler { it.response().endWithJson(core.loadReport()) }
        router.get("/cache-events").handler(::cacheEvents)
        router.post("/orders/models").handler(::order)
        router.get("/health").handler { it.response().end() }
        return router
    }

    private fun complete(call: RoutingContext) {
        val requestId = call.request().getHeader(REQUEST_ID) ?: UUID.randomUUID().toString()
        withBody<ChatRequest>(call) { request ->
            if (request.model !in core.models) {
                call.response().endWithError(404, "the model ${request.model} is not loaded")
                return@withBody
            }
            when (val submission = core.submit(requestId, request)) {
                Submission.Overloaded -> call.response().endWithError(503, "overloaded while cold")
                is Submission.Accepted -> answer(call.request(), submission.stream, request.stream)
            }
        }
    }

    private suspend fun answer(request: HttpServerRequest, stream: GenerationStream, streamed: Boolean) {
        withReader(request, stream) {
            if (streamed) sendEvents(request, stream, afterEventId = 0) else sendWhole(request, stream)
        }
    }

    private fun resume(call: RoutingContext) {
        val stream = core.stream(call.pathParam("id")) ?: return call.response().endWithError(404, "unknown stream")
        val after = call.request().getHeader(LAST_EVENT_ID)?.toIntOrNull() ?: 0
        scope.launch { withReader(call.request(), stream) { sendEvents(call.request(), stream, after) } }
    }

    /** Runs [send] and counts it as a reader of [stream] until it ends or the connection is closed. */
    private suspend fun withReader(request: HttpServerRequest, stream: GenerationStream, send: suspend () -> Unit) {
        stream.readers += 1
        val sending = scope.launch { send() }
        request.response().closeHandler { sending.cancel() }
        sending.join()
        stream.readers -= 1
        if (stream.readers == 0 && !stream.isEnded) core.cancelUnlessResumed(stream)
    }

    private suspend fun sendEvents(request: HttpServerRequest, stream: GenerationStream, afterEventId: Int) {
        val response = request.response().setChunked(true).putHeader("Content-Type", "text/event-stream")
        var sent = afterEventId
        while (true) {
            val batch = stream.eventsAfter(sent)
            suspendIfFrozen(request)
            if (batch.events.length() > 0) response.write(batch.events).coAwait()
            sent = batch.lastEventId
            if (batch.phase == StreamPhase.CANCELLED) return closeConnection(request)
            if (batch.phase == StreamPhase.FINISHED) break
        }
        response.end().coAwait()
    }

    private suspend fun sendWhole(request: HttpServerRequest, stream: GenerationStream) {
        val phase = stream.awaitEnd()
        suspendIfFrozen(request)
        if (phase == StreamPhase.CANCELLED) return closeConnection(request)
        request
            .response()
            .putHeader("Content-Type", "application/json")
            .end(stream.plan.wholeAnswer())
            .coAwait()
    }

    private suspend fun suspendIfFrozen(request: HttpServerRequest) {
        if (connections.isFrozen(request.connection())) awaitCancellation()
    }

    private fun closeConnection(request: HttpServerRequest) {
        request.connection().close()
    }

    private fun state(call: RoutingContext) {
        val stream = core.stream(call.pathParam("id")) ?: return call.response().endWithError(404, "unknown stream")
        val phase = stream.phase
        val running = phase == StreamPhase.RUNNING || phase == StreamPhase.WAITING
        call.response().endWithJson(StreamState(stream.lastEventId, phase == StreamPhase.FINISHED, running))
    }

    private fun cancel(call: RoutingContext) {
        val stream = core.stream(call.pathParam("id")) ?: return call.response().endWithError(404, "unknown stream")
        core.cancel(stream)
        call.response().setStatusCode(204).end()
    }

    private fun cacheEvents(call: RoutingContext) {
        val after = call.request().getParam("after")?.toLongOrNull() ?: 0
        call.response().endWithJson(core.batch.prefixCache.eventsAfter(after, System.nanoTime() / 1_000_000))
    }

    private fun order(call: RoutingContext) =
        withBody<ModelOrderRequest>(call) { request ->
            val order = core.models.execute(request)
            core.orders += order
            if (order.accepted) {
                call.response().end()
            } else {
                call.response().endWithError(409, "the fencing number ${request.fencingNumber} is old")
            }
        }

    private inline fun <reified T> withBody(call: RoutingContext, crossinline handle: suspend (T) -> Unit) {
        val body = call.request().body()
        scope.launch {
            val request = decode<T>(call.response(), body.coAwait().toString()) ?: return@launch
            handle(request)
        }
    }

    private inline fun <reified T> decode(response: HttpServerResponse, body: String): T? =
        try {
            standInJson.decodeFromString<T>(body)
        } catch (exception: SerializationException) {
            response.endWithError(400, exception.message.orEmpty())
            null
        }
}
