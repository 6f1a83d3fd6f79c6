package toucanrelay.daemon.entry.dispatch

import com.google.protobuf.ByteString
import toucanrelay.wire.Head

/** Takes the answer to one request and gives it to the caller. */
internal interface AnswerWriter {
    /** Whether the caller was given a part of the answer. */
    val isStarted: Boolean

    /** Takes the answer's head. */
    suspend fun head(head: Head)

    /** Takes the next bytes of the answer's body; suspends while the caller does not read. */
    suspend fun body(bytes: ByteString)

    /** Takes the end of a whole answer. */
    suspend fun finish()

    /** Forgets an answer of which the caller was given nothing. */
    fun restart()
}
