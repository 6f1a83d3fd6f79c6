package toucanrelay.http

import io.netty.channel.Channel
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.core.http.impl.UnpooledHttpClientConnection

/** Finds the channels of connections, which no public type of the HTTP library offers. */
public object ConnectionChannels {
    /** Returns the channel of a [connection] to a server. */
    public fun ofClient(connection: HttpConnection): Channel {
        val wrapped = UnpooledHttpClientConnection::class.java.getDeclaredField("actual")
        wrapped.isAccessible = true
        return (wrapped.get(connection) as HttpClientConnectionInternal).channelHandlerContext().channel()
    }

    /** Returns the channel of a [connection] that a client has opened. */
    public fun ofServer(connection: HttpConnection): Channel =
        (connection as HttpServerConnection).channelHandlerContext().channel()
}
