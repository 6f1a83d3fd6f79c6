package toucanrelay.daemon.entry.http

import io.vertx.core.MultiMap
import toucanrelay.wire.Header

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the relay sets itself. */
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

/** Returns the headers to forward, without those listed in `Connection`. */
internal fun MultiMap.forwarded(): List<Header> {
    val connectionOptions =
        getAll("Connection")
            .flatMap { it.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return entries()
        .filter { it.key.lowercase() !in NOT_FORWARDED && it.key.lowercase() !in connectionOptions }
        .map {
            Header
                .newBuilder()
                .setName(it.key)
                .setValue(it.value)
                .build()
        }
}

/** Returns whether the header [name] of an answer is forwarded to callers. */
internal fun isForwarded(name: String): Boolean = name.lowercase() !in NOT_FORWARDED
