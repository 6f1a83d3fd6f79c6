package toucanrelay.core.distribution

import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.time.Clock

/** What became of a version that was offered. */
public enum class VersionOutcome {
    /** Higher than any that was seen: it is held from now on. */
    TAKEN,

    /** The version that is held. */
    HELD,

    /** Lower than the version that is held: refused. */
    OUTDATED,
}

/**
 * Decides which bundle version a process holds and whether it may act on it.
 *
 * The version held never falls. It is in force only once it is confirmed to be no older than what the fleet runs: by the
 * platform's table service, or by a peer whose own version is confirmed. A process that was paused loses the confirmation
 * and needs a new one. Messages that waited in buffers during the pause don't count: a peer confirms only after a time
 * in which such messages have been read.
 *
 * Not safe for concurrent use.
 */
public class VersionGate(
    private val clock: Clock,
    private val terms: VersionTerms = VersionTerms(),
) {
    private var lastSignOfLife = clock.nowMilliseconds()
    private var peersCountFrom = Long.MIN_VALUE
    private var confirmedAt: Long? = null
    private var awaited: Confirmation? = null

    /** The highest version that was taken; null before the first. */
    public var held: BundleVersion? = null
        private set

    /** Whether the version held may be acted on now. */
    public val isInForce: Boolean
        get() {
            noteTime()
            return held != null && confirmedAt != null
        }

    /** Milliseconds since a process on the path read the version held from the table service; null when unconfirmed. */
    public val confirmedAgoMilliseconds: Long?
        get() = if (isInForce) confirmedAt?.let { clock.nowMilliseconds() - it } else null

    /** Notes that time passes; a gap between two calls is a pause of the process. */
    public fun noteTime() {
        val now = clock.nowMilliseconds()
        if (now - lastSignOfLife > terms.pauseLimitMilliseconds) {
            confirmedAt = null
            awaited = null
            peersCountFrom = now + terms.bufferedMessagesMilliseconds
        }
        lastSignOfLife = now
    }

    /** Offers a signed and verified [version]; whether it may be acted on is for a confirmation to say. */
    public fun offer(version: BundleVersion): VersionOutcome {
        noteTime()
        val standing = held
        return when {
            standing == null || version > standing -> {
                held = version
                awaited?.let { confirm(it) }
                VersionOutcome.TAKEN
            }

            version == standing -> {
                VersionOutcome.HELD
            }

            else -> {
                VersionOutcome.OUTDATED
            }
        }
    }

    /** Notes that the table service showed [version] to this process. */
    public fun confirmByTable(version: BundleVersion) {
        noteTime()
        confirm(Confirmation(version, clock.nowMilliseconds()))
    }

    /** Notes that a peer runs [version], which the table service showed [agoMilliseconds] ago; null when unknown. */
    public fun confirmByPeer(version: BundleVersion, agoMilliseconds: Long?) {
        noteTime()
        if (agoMilliseconds == null || clock.nowMilliseconds() < peersCountFrom) return
        confirm(Confirmation(version, clock.nowMilliseconds() - agoMilliseconds))
    }

    // A confirmation of a lower version holds for a higher one too; that of a higher one waits for its document.
    private fun confirm(confirmation: Confirmation) {
        val standing = held
        if (standing == null || confirmation.version > standing) {
            if (awaited.let { it == null || confirmation.version >= it.version }) awaited = confirmation
        } else {
            confirmedAt = maxOf(confirmedAt ?: Long.MIN_VALUE, confirmation.atMilliseconds)
            awaited = awaited?.takeIf { it.version > standing }
        }
    }

    private data class Confirmation(
        val version: BundleVersion,
        val atMilliseconds: Long,
    )
}
