package toucanrelay.daemon.agent.link

import kotlinx.coroutines.channels.Channel
import toucanrelay.core.grant.LinkId
import toucanrelay.core.liveness.HeartbeatDetector
import toucanrelay.core.liveness.HeartbeatSettings
import toucanrelay.core.time.Clock
import toucanrelay.wire.AgentMessage

/** The agent's side of one control stream. */
internal class EntryLink(
    val id: LinkId,
    clock: Clock,
    settings: HeartbeatSettings,
) {
    private val detector = HeartbeatDetector(clock, settings)
    private var sequence = 0L

    /** Queue of messages to the entry. */
    val outbox = Channel<AgentMessage>(MAX_OUTBOX_MESSAGES)

    /** Receives a signal when the capacity to announce may have changed. */
    val capacityChanges = Channel<Unit>(Channel.CONFLATED)

    /** Receives a signal when a heartbeat must be sent immediately. */
    val heartbeatRequests = Channel<Unit>(Channel.CONFLATED)

    /** Sequence number of the entry's last heartbeat. */
    @Volatile
    var lastReceivedSequence: Long = 0

    @Synchronized
    fun recordReceived() = detector.recordMessage()

    @Synchronized
    fun isSilent(): Boolean = detector.isSilent()

    @Synchronized
    fun nextSequence(): Long = ++sequence

    /** Queues [message]; closes the queue, and thereby the link, when the queue is full. */
    fun send(message: AgentMessage) {
        if (outbox.trySend(message).isFailure) outbox.close()
    }

    private companion object {
        const val MAX_OUTBOX_MESSAGES = 4_096
    }
}
