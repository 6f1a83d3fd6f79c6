package toucanrelay.daemon.agent.target

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import toucanrelay.core.prefix.PrefixCacheView
import toucanrelay.core.prefix.PrefixChange
import toucanrelay.core.prefix.PrefixEvent
import toucanrelay.core.prefix.PrefixEventKind
import toucanrelay.wire.CacheChange

/**
 * Polls the events of the engine's prefix cache and reports the changes.
 *
 * @param isEngine whether the target is currently known to be a model engine; it is polled only then.
 * @param onChange called with each change.
 */
internal class CacheEventPoller(
    private val connection: TargetConnection,
    private val isEngine: () -> Boolean,
    private val onChange: (CacheChange) -> Unit,
) {
    private val view = PrefixCacheView()

    /** Returns all prefixes assumed to be cached, for an entry that has just linked. */
    @Synchronized
    fun snapshot(): CacheChange = PrefixChange(view.prefixes, emptySet(), isReset = true).toWire()

    /** Polls until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            if (isEngine()) poll()
            delay(POLL_MILLISECONDS)
        }
    }

    private suspend fun poll() {
        val answer = connection.call(HttpMethod.GET, "/cache-events?after=${view.lastSequence}") ?: return
        if (answer.status != OK) return
        val events =
            try {
                targetJson.decodeFromString<CacheEvents>(answer.body.toString())
            } catch (malformed: SerializationException) {
                return
            }
        applyEvents(events).filterNot { it.isEmpty }.forEach { onChange(it.toWire()) }
    }

    /** Applies [events]; a latest sequence number lower than the last applied one means that the engine restarted. */
    @Synchronized
    private fun applyEvents(events: CacheEvents): List<PrefixChange> {
        val reset = if (events.latestSequence < view.lastSequence) listOf(view.reset()) else emptyList()
        return reset + view.update(events.events.mapNotNull { it.toEvent() })
    }

    private companion object {
        const val OK = 200
        const val POLL_MILLISECONDS = 500L
    }
}

private fun CacheEvent.toEvent(): PrefixEvent? {
    val hash = prefixHash.toULongOrNull(radix = 16)?.toLong() ?: return null
    val kind =
        when (kind) {
            "stored" -> PrefixEventKind.STORED
            "removed" -> PrefixEventKind.REMOVED
            else -> return null
        }
    return PrefixEvent(sequence, kind, hash)
}

private fun PrefixChange.toWire(): CacheChange =
    CacheChange
        .newBuilder()
        .addAllAdded(added)
        .addAllRemoved(removed)
        .setReset(isReset)
        .build()
