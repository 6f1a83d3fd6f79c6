package toucanrelay.standins

import io.vertx.core.http.HttpConnection
import java.util.concurrent.ConcurrentHashMap

/** Registry of a server's open connections. Frozen ones stay open but are no longer answered. */
internal class FreezableConnections {
    private val open = ConcurrentHashMap.newKeySet<HttpConnection>()
    private val frozen = ConcurrentHashMap.newKeySet<HttpConnection>()

    fun add(connection: HttpConnection) {
        open += connection
        connection.closeHandler {
            open -= connection
            frozen -= connection
        }
    }

    /** Freezes all currently open connections. */
    fun freeze() {
        frozen += open
    }

    fun isFrozen(connection: HttpConnection): Boolean = connection in frozen

    /** Closes all connections that are not frozen, as a server crash would. */
    fun closeAll() {
        (open - frozen).forEach { it.close() }
    }
}
