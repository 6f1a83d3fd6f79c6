package toucanrelay.store

import io.vertx.core.Vertx
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.objects.ObjectStore
import toucanrelay.store.table.TableService

/** All services of the platform, reached through one client. */
public interface Platform :
    TableService,
    InstanceList,
    ObjectStore {
    /** Closes the connections. */
    public suspend fun close()
}

/**
 * How long a call to the platform may take.
 *
 * @property connectMilliseconds time to set up a connection; no call is sent before.
 * @property answerMilliseconds time from the sending of a call to the end of its answer.
 */
public data class PlatformTimeouts(
    public val connectMilliseconds: Int = 1_000,
    public val answerMilliseconds: Long = 3_000,
)

/**
 * Connects to the platform's services at [baseUrl], an `http` or `https` URL.
 *
 * @throws IllegalArgumentException when [baseUrl] is no such URL.
 */
public fun httpPlatform(vertx: Vertx, baseUrl: String, timeouts: PlatformTimeouts = PlatformTimeouts()): Platform =
    HttpPlatform(PlatformHttpClient(vertx, baseUrl, timeouts))
