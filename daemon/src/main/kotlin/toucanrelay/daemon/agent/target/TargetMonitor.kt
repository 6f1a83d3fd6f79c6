package toucanrelay.daemon.agent.target

import io.vertx.core.http.HttpMethod
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.TargetId
import toucanrelay.daemon.agent.work.TargetStatus
import toucanrelay.daemon.agent.work.WorkDesk
import toucanrelay.daemon.fleet.BundleRegister

/** Watches whether the target answers, what it has loaded, what it bears and whether it started anew. */
internal class TargetMonitor(
    private val connection: TargetConnection,
    private val target: TargetId,
    private val bundles: BundleRegister,
    private val status: TargetStatus,
    private val desk: WorkDesk,
) {
    private var startIdentity: String? = null
    private var failures = 0
    private var round = 0L

    /** Polls until it is cancelled. */
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
            answered()
        } else {
            unanswered()
        }
    }

    private suspend fun pollService(): Boolean = connection.call(HttpMethod.GET, "/health")?.status == OK

    private suspend fun pollEngine(): Boolean {
        val load = read<LoadReport>("/load") ?: return false
        val earlier = startIdentity
        startIdentity = load.startIdentity
        if (earlier != null && earlier != load.startIdentity) {
            desk.turnedCold("start identity ${load.startIdentity} after $earlier")
            round = 0
        }
        desk.reported(load.running + load.waiting, load.reportAgeMilliseconds)
        if (round++ % ROUNDS_BETWEEN_MODEL_LISTS == 0L) {
            read<ModelList>("/v1/models")?.let { models -> setModels(models) }
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
        desk.afterChange()
    }

    private fun answered() {
        failures = 0
        if (status.isReachable) return
        Logger.info("agent: the target answers again")
        desk.backInService()
        status.isReachable = true
        desk.afterChange()
    }

    private fun unanswered() {
        failures += 1
        if (failures != FAILURES_TO_BE_SURE) return
        Logger.warn("agent: the target does not answer")
        status.isReachable = false
        desk.afterChange()
    }

    private suspend inline fun <reified T> read(path: String): T? {
        val answer = connection.call(HttpMethod.GET, path)?.takeIf { it.status == OK } ?: return null
        return try {
            targetJson.decodeFromString<T>(answer.body.toString())
        } catch (malformed: SerializationException) {
            Logger.warn("agent: {} of the target cannot be read: {}", path, malformed.message)
            null
        }
    }

    private companion object {
        const val OK = 200
        const val POLL_MILLISECONDS = 250L
        const val ROUNDS_BETWEEN_MODEL_LISTS = 4
        const val FAILURES_TO_BE_SURE = 3
    }
}
