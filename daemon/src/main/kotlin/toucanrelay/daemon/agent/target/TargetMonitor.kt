package toucanrelay.daemon.agent.target

import io.vertx.core.http.HttpMethod
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.TargetId
import toucanrelay.daemon.agent.work.RequestExecutor
import toucanrelay.daemon.agent.work.TargetStatus
import toucanrelay.daemon.fleet.BundleRegister

/** Polls the target for reachability, loaded models, load and restarts. */
internal class TargetMonitor(
    private val connection: TargetConnection,
    private val target: TargetId,
    private val bundles: BundleRegister,
    private val status: TargetStatus,
    private val executor: RequestExecutor,
) {
    private var startIdentity: String? = null
    private var failures = 0
    private var polls = 0L

    /** Polls until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            poll()
            delay(POLL_MILLISECONDS)
        }
    }

    private suspend fun poll() {
        val pools =
            bundles.current.value
                ?.targets
                ?.get(target)
                ?.pools ?: persistentSetOf()
        val services = pools.filter { it.isService }
        val isAlive = if (pools.isNotEmpty() && services.size == pools.size) pollService() else pollEngine()
        if (isAlive) {
            if (services.isNotEmpty()) setLoaded(services)
            onAnswer()
        } else {
            onNoAnswer()
        }
    }

    private suspend fun pollService(): Boolean = connection.call(HttpMethod.GET, "/health")?.status == OK

    private suspend fun pollEngine(): Boolean {
        val load = fetch<LoadReport>("/load") ?: return false
        val earlier = startIdentity
        startIdentity = load.startIdentity
        if (earlier != null && earlier != load.startIdentity) {
            executor.onTargetCold("start identity changed from $earlier to ${load.startIdentity}")
            polls = 0
        }
        executor.recordLoadReport(load.running + load.waiting, load.reportAgeMilliseconds)
        if (polls++ % POLLS_PER_MODEL_LIST == 0L) {
            fetch<ModelList>("/v1/models")?.let { models -> setModels(models) }
        }
        return true
    }

    private fun setModels(models: ModelList) {
        setLoaded(models.data.map { Pool.named(it.id) })
        status.hasModelList = true
    }

    private fun setLoaded(pools: List<Pool>) {
        val loaded = pools.toPersistentSet()
        if (loaded == status.loaded) return
        status.loaded = loaded
        executor.dispatch()
    }

    private fun onAnswer() {
        failures = 0
        if (status.isReachable) return
        Logger.info("agent: the target is reachable again")
        executor.onBackInService()
        status.isReachable = true
        executor.dispatch()
    }

    private fun onNoAnswer() {
        failures += 1
        if (failures != FAILURES_UNTIL_UNREACHABLE) return
        Logger.warn("agent: the target is unreachable")
        status.isReachable = false
        executor.dispatch()
    }

    private suspend inline fun <reified T> fetch(path: String): T? {
        val answer = connection.call(HttpMethod.GET, path)?.takeIf { it.status == OK } ?: return null
        return try {
            targetJson.decodeFromString<T>(answer.body.toString())
        } catch (malformed: SerializationException) {
            Logger.warn("agent: cannot parse the response of the target to {}: {}", path, malformed.message)
            null
        }
    }

    private companion object {
        const val OK = 200
        const val POLL_MILLISECONDS = 250L
        const val POLLS_PER_MODEL_LIST = 4
        const val FAILURES_UNTIL_UNREACHABLE = 3
    }
}
