package toucanrelay.gateway.dispatch

import io.vertx.core.buffer.Buffer
import toucanrelay.gateway.body.AnswerMemory
import toucanrelay.gateway.body.BodyPart
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.gateway.target.AnswerPart

/** How reading the whole body of an answer ended. */
internal sealed interface WholeBody {
    /** The body is complete. */
    class Complete(
        val bytes: Buffer,
    ) : WholeBody

    /** The target broke it off. */
    class Broken(
        val detail: String,
    ) : WholeBody

    /** The target sent more bytes than a valid answer has, or than there is memory for. */
    data object TooLarge : WholeBody

    companion object {
        /** Reads [body] to its end, as long as [memory] has room for it. */
        suspend fun read(body: IncomingBody, memory: AnswerMemory.Share): WholeBody {
            val bytes = Buffer.buffer()
            while (true) {
                when (val part = body.next()) {
                    is BodyPart.Bytes -> {
                        if (!memory.tryAdd(part.buffer.length())) return TooLarge
                        bytes.appendBuffer(part.buffer)
                    }

                    is BodyPart.Broken -> {
                        return Broken(part.detail)
                    }

                    BodyPart.End -> {
                        return Complete(bytes)
                    }
                }
                if (bytes.length() > AnswerPart.BODY.maxBytes) return TooLarge
            }
        }
    }
}
