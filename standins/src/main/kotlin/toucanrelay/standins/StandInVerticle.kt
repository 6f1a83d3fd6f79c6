package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.CoroutineVerticle
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import org.tinylog.kotlin.Logger

/**
 * Runs one stand-in on an event loop of its own, so that its state needs no lock.
 *
 * @param onStart binds the servers and returns the bound port.
 */
internal class StandInVerticle(
    private val onStart: suspend (StandInVerticle) -> Int,
) : CoroutineVerticle() {
    var port: Int = 0
        private set

    /** Coroutines of this stand-in; one that fails, as a broken connection makes it, leaves the others alone. */
    val scope: CoroutineScope by lazy {
        val handler =
            CoroutineExceptionHandler {
                _,
                cause,
                ->
                Logger.debug { "stand-in: call ended by ${cause.message}" }
            }
        CoroutineScope(coroutineContext + SupervisorJob(coroutineContext[Job]) + handler)
    }

    public override suspend fun start() {
        port = onStart(this)
    }
}

/**
 * Deploys verticles on a shared Vert.x, or on one that lives as long as the deployment.
 *
 * @param shared the Vert.x to deploy on; null for one of its own.
 */
internal class StandInDeployment(
    private val shared: Vertx?,
) {
    private var vertx: Vertx? = null
    private var deploymentId: String? = null

    /** Starts [verticle] and returns the port that it bound. */
    suspend fun start(verticle: StandInVerticle): Int {
        check(deploymentId == null) { "the stand-in runs already" }
        val host = shared ?: newVertx()
        vertx = host
        deploymentId = host.deployVerticle(verticle).coAwait()
        return verticle.port
    }

    /** Stops what [start] started; does nothing when it does not run. */
    suspend fun stop() {
        val id = deploymentId ?: return
        deploymentId = null
        vertx?.undeploy(id)?.coAwait()
        if (shared == null) vertx?.close()?.coAwait()
    }

    private fun newVertx(): Vertx {
        val files = FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)
        val options =
            VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(files)
        return Vertx.vertx(options)
    }
}
