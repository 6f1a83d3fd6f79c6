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
 * Orders the engine to load what the bundle assigns to it and it lacks.
 *
 * The lease on the target is taken only while there is something to order and given back afterwards, so that targets at
 * rest cost the table service nothing.
 */
internal class ModelOrders(
    private val connection: TargetConnection,
    private val lease: LeaseKeeper,
    private val status: TargetStatus,
    private val meters: AgentMeters,
) {
    /** Watches and orders until it is cancelled. */
    suspend fun run() {
        while (true) {
            val missing = missing()
            when {
                missing.isEmpty() -> rest()
                lease.mayOrder() == null -> lease.step()
                else -> order(missing.first())
            }
        }
    }

    private suspend fun rest() {
        if (lease.mayOrder() != null) lease.release()
        delay(WATCH_MILLISECONDS)
    }

    private fun missing(): List<Pool> {
        val state = status.state()
        val assigned =
            state.bundle
                ?.targets
                ?.get(state.target)
                ?.pools
                .orEmpty()
        val isAsked = status.hasModelList && status.isReachable && state.outOfServiceReason == null
        return if (isAsked) assigned.filter { !it.isService && it !in state.loaded } else emptyList()
    }

    /** Sends one order; its time limit is below the lease's stop margin. */
    private suspend fun order(pool: Pool) {
        val number = lease.mayOrder() ?: return
        val body = targetJson.encodeToString(ModelOrder(pool.name, LOAD, number.value))
        val answer = connection.call(HttpMethod.POST, "/orders/models", Buffer.buffer(body))
        val outcome =
            when (answer?.status) {
                OK -> "done"
                CONFLICT -> "fenced"
                null -> "no-answer"
                else -> "failed"
            }
        meters.modelOrder(outcome)
        Logger.info("agent: order {} to load {}: {}", number, pool, outcome)
        delay(WATCH_MILLISECONDS)
    }

    private companion object {
        const val LOAD = "load"
        const val OK = 200
        const val CONFLICT = 409

        /** Longer than the time until the monitor reads the list of models again. */
        const val WATCH_MILLISECONDS = 1_500L
    }
}
