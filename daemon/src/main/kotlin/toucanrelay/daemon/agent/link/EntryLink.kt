package toucanrelay.daemon.agent.link

import kotlinx.coroutines.channels.Channel
import toucanrelay.core.grant.LinkId
import toucanrelay.core.liveness.HeartbeatDetector
import toucanrelay.core.liveness.HeartbeatSettings
import toucanrelay.core.time.Clock
import toucanrelay.wire.AgentMessage

/** The agent's end of one control stream. */
internal class EntryLink(
    val id: LinkId,
    clock: Clock,
    terms: HeartbeatSettings,
) {
    private val detector = HeartbeatDetector(clock, terms)
    private var sequence = 0L

    /** Messages on their way to the entry. */
    val outbox = Channel<AgentMessage>(OUTBOX_MESSAGES)

    /** Signals that the capacity to announce may have changed. */
    val capacityChanges = Channel<Unit>(Channel.CONFLATED)

    /** Signals that a heartbeat is due at once. */
    val heartbeatRequests = Channel<Unit>(Channel.CONFLATED)

    /** The highest sequence of the peer's heartbeats. */
    @Volatile
    var heardSequence: Long = 0

    @Synchronized
    fun heard() = detector.messageReceived()

    @Synchronized
    fun isSilent(): Boolean = detector.isSilent()

    @Synchronized
    fun nextSequence(): Long = ++sequence

    /** Queues [message]; an entry that does not take its messages loses the link. */
    fun send(message: AgentMessage) {
        if (outbox.trySend(message).isFailure) outbox.close()
    }

    private companion object {
        const val OUTBOX_MESSAGES = 4_096
    }
}
