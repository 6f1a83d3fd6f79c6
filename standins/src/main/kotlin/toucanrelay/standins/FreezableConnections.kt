package toucanrelay.standins

import io.vertx.core.http.HttpConnection
import java.util.concurrent.ConcurrentHashMap

/** The open connections of a server; frozen ones get and give nothing any more but stay open. */
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

    /** Freezes the connections that are open now. */
    fun freeze() {
        frozen += open
    }

    fun isFrozen(connection: HttpConnection): Boolean = connection in frozen

    /** Closes all connections that are not frozen, as a crash of the server does. */
    fun closeAll() {
        (open - frozen).forEach { it.close() }
    }
}
