package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException

private const val PRECONDITION_FAILED = 412
private const val PRECONDITION_REQUIRED = 428
private const val TOO_MANY_REQUESTS = 429
private const val WEIGHT_BYTES = 65_536

/**
 * The HTTP interface of a [PlatformStandIn].
 *
 * @param scope scope of coroutines on the stand-in's event loop.
 * @param state state of the platform.
 */
internal class PlatformRoutes(
    private val scope: CoroutineScope,
    private val state: PlatformState,
) {
    fun router(vertx: Vertx): Router {
        val router = Router.router(vertx)
        router.get("/tables/:table/rows/:key").handler { withFaults(it, ::readRow) }
        router.put("/tables/:table/rows/:key").handler { withFaults(it, ::writeRow) }
        router.delete("/tables/:table/rows/:key").handler { withFaults(it, ::deleteRow) }
        router.get("/objects/*").handler { withFaults(it, ::readObject) }
        router.put("/objects/*").handler { withFaults(it, ::writeObject) }
        router.get("/instances").handler { withFaults(it, ::listInstances) }
        router.get("/weights/:name").handler { withFaults(it, ::readWeights) }
        router.put("/control/instances/:id").handler(::putInstance)
        router.delete("/control/instances/:id").handler { call ->
            synchronized(state.instances) { state.instances.remove(call.pathParam("id")) }
            call.response().setStatusCode(204).end()
        }
        router.put("/control/faults").handler(::putFaults)
        return router
    }

    /** Runs [serve] with the configured delay, or answers 503 while the services are down. */
    private fun withFaults(call: RoutingContext, serve: (RoutingContext, Buffer) -> Unit) {
        val pendingBody = call.request().body()
        scope.launch {
            val body = pendingBody.coAwait()
            val delayMilliseconds = state.faults.get().delayMilliseconds
            if (delayMilliseconds > 0) delay(delayMilliseconds)
            if (state.faults.get().down) {
                call.response().endWithError(503, "the service is down")
            } else {
                serve(call, body)
            }
        }
    }

    private fun readRow(
        call: RoutingContext,
        @Suppress("UNUSED_PARAMETER") body: Buffer,
    ) {
        state.tableReads.incrementAndGet()
        val row = state.rows.read(rowKey(call)) ?: return call.response().endWithError(404, "no such row")
        call
            .response()
            .withVersion(row.version)
            .putHeader("Content-Type", "application/json")
            .end(row.value)
    }

    private fun writeRow(call: RoutingContext, body: Buffer) =
        changeRow(call) { condition ->
            val version = state.rows.write(rowKey(call), body, condition)
            answerWrite(call, version != null) { it.withVersion(version ?: 0).end() }
        }

    private fun deleteRow(
        call: RoutingContext,
        @Suppress("UNUSED_PARAMETER") body: Buffer,
    ) = changeRow(call) { condition ->
        val deleted = state.rows.delete(rowKey(call), condition)
        answerWrite(call, deleted) { it.setStatusCode(204).end() }
    }

    private fun changeRow(call: RoutingContext, change: (RowCondition) -> Unit) {
        val response = call.response()
        state.tableWrites.incrementAndGet()
        if (!state.tableWriteLimit.tryAcquire()) {
            response.putHeader("Retry-After", "1").endWithError(TOO_MANY_REQUESTS, "too many writes")
            return
        }
        val condition = conditionOf(call.request())
        if (condition == null) {
            response.endWithError(PRECONDITION_REQUIRED, "If-Match or If-None-Match: * is required")
        } else {
            change(condition)
        }
    }

    private fun answerWrite(call: RoutingContext, done: Boolean, answer: (HttpServerResponse) -> Unit) {
        if (!done) state.tableConflicts.incrementAndGet()
        when {
            done && state.consumeLostAnswer() -> call.request().connection().close()
            done -> answer(call.response())
            else -> call.response().endWithError(PRECONDITION_FAILED, "the row is not as the condition says")
        }
    }

    private fun readObject(
        call: RoutingContext,
        @Suppress("UNUSED_PARAMETER") body: Buffer,
    ) {
        state.objectReads.incrementAndGet()
        val found = state.objects[call.request().path()] ?: return call.response().endWithError(404, "no such object")
        call.response().end(found)
    }

    private fun writeObject(call: RoutingContext, body: Buffer) {
        state.objectWrites.incrementAndGet()
        state.objects[call.request().path()] = body
        answerWrite(call, done = true) { it.end() }
    }

    private fun listInstances(
        call: RoutingContext,
        @Suppress("UNUSED_PARAMETER") body: Buffer,
    ) {
        state.listReads.incrementAndGet()
        val lag = state.faults.get().listLagMilliseconds
        call.response().endWithJson(synchronized(state.instances) { state.instances.listing(lag) })
    }

    private fun readWeights(
        call: RoutingContext,
        @Suppress("UNUSED_PARAMETER") body: Buffer,
    ) {
        state.weightReads.incrementAndGet()
        if (state.weightLimit.tryAcquire()) {
            call.response().end(Buffer.buffer(ByteArray(WEIGHT_BYTES)))
        } else {
            call.response().putHeader("Retry-After", "1").endWithError(TOO_MANY_REQUESTS, "the weight store is busy")
        }
    }

    private fun putInstance(call: RoutingContext) =
        withControlBody<ListedInstance>(call) { instance ->
            if (instance.instanceId != call.pathParam("id")) {
                call.response().endWithError(400, "instanceId is not the one of the path")
            } else {
                synchronized(state.instances) { state.instances.put(instance) }
                call.response().setStatusCode(204).end()
            }
        }

    private fun putFaults(call: RoutingContext) =
        withControlBody<PlatformFaults>(call) { faults ->
            state.faults.set(faults)
            call.response().setStatusCode(204).end()
        }

    private inline fun <reified T> withControlBody(call: RoutingContext, crossinline handle: (T) -> Unit) {
        val pendingBody = call.request().body()
        scope.launch {
            try {
                handle(standInJson.decodeFromString<T>(pendingBody.coAwait().toString()))
            } catch (exception: SerializationException) {
                call.response().endWithError(400, exception.message.orEmpty())
            }
        }
    }

    private fun rowKey(call: RoutingContext) = call.pathParam("table") + "/" + call.pathParam("key")

    private fun conditionOf(request: HttpServerRequest): RowCondition? {
        if (request.getHeader("If-None-Match") == "*") return RowCondition.Absent
        val tag = request.getHeader("If-Match") ?: return null
        return RowCondition.Unchanged(tag.trim('"').toLongOrNull() ?: -1)
    }

    private fun HttpServerResponse.withVersion(version: Long) = putHeader("ETag", "\"$version\"")
}
