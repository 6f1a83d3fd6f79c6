package toucanrelay.core.distribution

import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.time.Clock

/** Result of offering a version to a [VersionGate]. */
public enum class VersionOutcome {
    /** Higher than any version before; it is held from now on. */
    TAKEN,

    /** Equal to the version that is held already. */
    HELD,

    /** Lower than the version that is held; it is rejected. */
    OUTDATED,
}

/**
 * Decides which bundle version a process holds and whether that version is in force, so that the process may act on it.
 *
 * The held version never decreases. It is in force only after a confirmation that it is no older than what the fleet
 * runs, either by the platform's table service or by a peer whose own version is confirmed. A process that was paused
 * loses the confirmation and needs a new one. Confirmations by peers are ignored for a time after a pause, because
 * messages received then may have been buffered during it.
 *
 * Not thread-safe.
 */
public class VersionGate(
    private val clock: Clock,
    private val settings: VersionGateSettings = VersionGateSettings(),
) {
    private var lastCallAtMilliseconds = clock.nowMilliseconds()
    private var ignorePeersUntilMilliseconds = Long.MIN_VALUE
    private var confirmedAtMilliseconds: Long? = null
    private var pending: Confirmation? = null

    /** The highest version offered so far; null before the first. */
    public var held: BundleVersion? = null
        private set

    /** Whether the held version is in force now, so that the process may act on it. */
    public val isInForce: Boolean
        get() {
            detectPause()
            return held != null && confirmedAtMilliseconds != null
        }

    /** Time since the held version was read from the table service, here or by a peer; null when unconfirmed. */
    public val confirmedAgoMilliseconds: Long?
        get() = if (isInForce) confirmedAtMilliseconds?.let { clock.nowMilliseconds() - it } else null

    /** Drops the confirmation if the process was paused, which shows as a long gap between two calls. */
    public fun detectPause() {
        val now = clock.nowMilliseconds()
        if (now - lastCallAtMilliseconds > settings.pauseLimitMilliseconds) {
            confirmedAtMilliseconds = null
            pending = null
            ignorePeersUntilMilliseconds = now + settings.bufferedMessagesMilliseconds
        }
        lastCallAtMilliseconds = now
    }

    /** Offers a [version] whose signature was verified; it comes into force only with a confirmation. */
    public fun offer(version: BundleVersion): VersionOutcome {
        detectPause()
        val current = held
        return when {
            current == null || version > current -> {
                held = version
                pending?.let { confirm(it) }
                VersionOutcome.TAKEN
            }

            version == current -> {
                VersionOutcome.HELD
            }

            else -> {
                VersionOutcome.OUTDATED
            }
        }
    }

    /** Confirms [version], which this process has just read from the table service. */
    public fun confirmByTable(version: BundleVersion) {
        detectPause()
        confirm(Confirmation(version, clock.nowMilliseconds()))
    }

    /** Confirms [version], run by a peer and read from the table service [agoMilliseconds] ago; null has no effect. */
    public fun confirmByPeer(version: BundleVersion, agoMilliseconds: Long?) {
        detectPause()
        if (agoMilliseconds == null || clock.nowMilliseconds() < ignorePeersUntilMilliseconds) return
        confirm(Confirmation(version, clock.nowMilliseconds() - agoMilliseconds))
    }

    // A confirmation of a lower version also applies to the held one; one of a higher version waits for its bundle.
    private fun confirm(confirmation: Confirmation) {
        val current = held
        if (current == null || confirmation.version > current) {
            if (pending.let { it == null || confirmation.version >= it.version }) pending = confirmation
        } else {
            confirmedAtMilliseconds = maxOf(confirmedAtMilliseconds ?: Long.MIN_VALUE, confirmation.atMilliseconds)
            pending = pending?.takeIf { it.version > current }
        }
    }

    private data class Confirmation(
        val version: BundleVersion,
        val atMilliseconds: Long,
    )
}
