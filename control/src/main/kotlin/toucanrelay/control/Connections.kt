package toucanrelay.control

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.store.Platform
import toucanrelay.store.httpPlatform

/** Network clients of a command, each created on first use. */
internal class Connections {
    private val lazyVertx = lazy { newVertx() }
    private val platforms = mutableListOf<Platform>()

    /** Client for the operators' ports of processes. */
    val processClient: ProcessClient by lazy { ProcessClient(lazyVertx.value) }

    /** Returns a client for the platform at [url]; [close] closes it. */
    fun platform(url: String): Platform = httpPlatform(lazyVertx.value, url).also { platforms += it }

    /** Closes all clients created so far. */
    suspend fun close() {
        platforms.forEach { it.close() }
        if (lazyVertx.isInitialized()) lazyVertx.value.close().coAwait()
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
