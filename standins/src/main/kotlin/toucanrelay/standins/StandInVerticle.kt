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
 * Runs one stand-in on a single event loop, so that its state needs no locks.
 *
 * @param onStart binds the servers and returns the bound port.
 */
internal class StandInVerticle(
    private val onStart: suspend (StandInVerticle) -> Int,
) : CoroutineVerticle() {
    var port: Int = 0
        private set

    /** Scope of this stand-in's coroutines; a failure, such as a broken connection, does not cancel the others. */
    val scope: CoroutineScope by lazy {
        val handler =
            CoroutineExceptionHandler {
                _,
                cause,
                ->
                Logger.debug { "stand-in: call failed: ${cause.message}" }
            }
        CoroutineScope(coroutineContext + SupervisorJob(coroutineContext[Job]) + handler)
    }

    public override suspend fun start() {
        port = onStart(this)
    }
}

/**
 * Deploys a verticle on a shared Vert.x instance, or on one that is closed with the deployment.
 *
 * @param shared the Vert.x instance to deploy on; null creates one.
 */
internal class StandInDeployment(
    private val shared: Vertx?,
) {
    private var vertx: Vertx? = null
    private var deploymentId: String? = null

    /** Deploys [verticle] and returns the port that it bound. */
    suspend fun start(verticle: StandInVerticle): Int {
        check(deploymentId == null) { "the stand-in is already running" }
        val activeVertx = shared ?: newVertx()
        vertx = activeVertx
        deploymentId = activeVertx.deployVerticle(verticle).coAwait()
        return verticle.port
    }

    /** Undeploys the verticle; does nothing if none is deployed. */
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
