package toucanrelay.daemon.agent.lease

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.Pool
import toucanrelay.daemon.agent.AgentMeters
import toucanrelay.daemon.agent.target.ModelOrder
import toucanrelay.daemon.agent.target.TargetConnection
import toucanrelay.daemon.agent.target.targetJson
import toucanrelay.daemon.agent.work.TargetStatus

/**
 * Orders the engine to load the models that the bundle assigns to it but that it has not loaded.
 *
 * The lease on the target is acquired only to send orders and released afterwards, so that idle targets put no load on
 * the table service.
 */
internal class ModelLoader(
    private val connection: TargetConnection,
    private val lease: LeaseClient,
    private val status: TargetStatus,
    private val meters: AgentMeters,
) {
    /** Checks for missing models and orders them until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val missing = missingModels()
            when {
                missing.isEmpty() -> idle()
                lease.currentFencingNumber() == null -> lease.step()
                else -> order(missing.first())
            }
        }
    }

    private suspend fun idle() {
        if (lease.currentFencingNumber() != null) lease.release()
        delay(POLL_MILLISECONDS)
    }

    private fun missingModels(): List<Pool> {
        val state = status.state()
        val assigned =
            state.bundle
                ?.targets
                ?.get(state.target)
                ?.pools
                .orEmpty()
        val canOrder = status.hasModelList && status.isReachable && state.outOfServiceReason == null
        return if (canOrder) assigned.filter { !it.isService && it !in state.loaded } else emptyList()
    }

    /** Sends one order; its timeout is shorter than the lease's stop margin. */
    private suspend fun order(pool: Pool) {
        val number = lease.currentFencingNumber() ?: return
        val body = targetJson.encodeToString(ModelOrder(pool.name, LOAD, number.value))
        val answer = connection.call(HttpMethod.POST, "/orders/models", Buffer.buffer(body))
        val outcome =
            when (answer?.status) {
                OK -> "done"
                CONFLICT -> "fenced"
                null -> "no-answer"
                else -> "failed"
            }
        meters.recordModelOrder(outcome)
        Logger.info("agent: order with fencing number {} to load {}: {}", number, pool, outcome)
        delay(POLL_MILLISECONDS)
    }

    private companion object {
        const val LOAD = "load"
        const val OK = 200
        const val CONFLICT = 409

        /** Longer than the monitor's interval between reads of the model list, so that an order is not repeated early. */
        const val POLL_MILLISECONDS = 1_500L
    }
}
