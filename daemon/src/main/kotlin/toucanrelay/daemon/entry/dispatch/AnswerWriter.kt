package toucanrelay.daemon.entry.dispatch

import com.google.protobuf.ByteString
import toucanrelay.wire.Head

/** Writes the answer to one request to its caller. */
internal interface AnswerWriter {
    /** Whether a part of the answer was sent to the caller. */
    val isStarted: Boolean

    /** Sets status and headers, which are sent with the first bytes of the body or at the end. */
    suspend fun setHead(head: Head)

    /** Writes the next bytes of the answer's body; suspends while the caller does not read. */
    suspend fun writeBody(bytes: ByteString)

    /** Completes the answer. */
    suspend fun finish()

    /** Discards an answer of which nothing was sent to the caller. */
    fun reset()
}
