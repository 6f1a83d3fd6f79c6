package toucanrelay.store

import io.vertx.core.Vertx
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.objects.ObjectStore
import toucanrelay.store.table.TableService

/** Client of all services of the platform. */
public interface Platform :
    TableService,
    InstanceList,
    ObjectStore {
    /** Closes the connections. */
    public suspend fun close()
}

/**
 * Timeouts of calls to the platform.
 *
 * @property connectMilliseconds limit for establishing a connection, before the call is sent.
 * @property responseMilliseconds limit from sending the call to the end of the response.
 */
public data class PlatformTimeouts(
    public val connectMilliseconds: Int = 1_000,
    public val responseMilliseconds: Long = 3_000,
)

/**
 * Returns a client of the platform's services at [baseUrl], an `http` or `https` URL.
 *
 * @throws IllegalArgumentException if [baseUrl] is not such a URL.
 */
public fun httpPlatform(vertx: Vertx, baseUrl: String, timeouts: PlatformTimeouts = PlatformTimeouts()): Platform =
    HttpPlatform(PlatformHttpClient(vertx, baseUrl, timeouts))
