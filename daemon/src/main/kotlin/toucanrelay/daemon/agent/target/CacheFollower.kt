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
 * Follows the engine's prefix cache and passes on what changed.
 *
 * @param isEngine whether the target is a model engine now.
 * @param onChange called with each change.
 */
internal class CacheFollower(
    private val connection: TargetConnection,
    private val isEngine: () -> Boolean,
    private val onChange: (CacheChange) -> Unit,
) {
    private val view = PrefixCacheView()

    /** All that is known, for an entry that has just linked. */
    @Synchronized
    fun whole(): CacheChange = PrefixChange(view.prefixes, emptySet(), isReset = true).toWire()

    /** Polls until it is cancelled. */
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
        take(events).filterNot { it.isEmpty }.forEach { onChange(it.toWire()) }
    }

    /** A sequence below what was seen shows that the engine has started anew. */
    @Synchronized
    private fun take(events: CacheEvents): List<PrefixChange> {
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
