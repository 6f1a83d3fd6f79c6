package toucanrelay.control

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.store.Platform
import toucanrelay.store.httpPlatform

/** What commands reach over the network; opened when first used. */
internal class Connections {
    private val vertxHolder = lazy { newVertx() }
    private val platforms = mutableListOf<Platform>()

    /** Clients of processes. */
    val processes: ProcessClient by lazy { ProcessClient(vertxHolder.value) }

    /** The platform at [url]. */
    fun platform(url: String): Platform = httpPlatform(vertxHolder.value, url).also { platforms += it }

    /** Closes all that was opened. */
    suspend fun close() {
        platforms.forEach { it.close() }
        if (vertxHolder.isInitialized()) vertxHolder.value.close().coAwait()
    }

    private fun newVertx(): Vertx =
        Vertx.vertx(
            VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                    FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false),
                ),
        )
}
