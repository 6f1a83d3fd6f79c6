package toucanrelay.daemon.entry.http

import io.vertx.core.MultiMap
import toucanrelay.wire.Header

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or that the relay sets itself. */
private val NOT_FORWARDED =
    setOf(
        "connection",
        "proxy-connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "host",
        "expect",
        "authorization",
        "x-request-id",
    )

/** The headers to pass on, without those named by `Connection`. */
internal fun MultiMap.forwarded(): List<Header> {
    val named =
        getAll("Connection")
            .flatMap { it.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return entries()
        .filter { it.key.lowercase() !in NOT_FORWARDED && it.key.lowercase() !in named }
        .map {
            Header
                .newBuilder()
                .setName(it.key)
                .setValue(it.value)
                .build()
        }
}

/** Whether the header with this name is passed on to callers. */
internal fun isForwarded(name: String): Boolean = name.lowercase() !in NOT_FORWARDED
