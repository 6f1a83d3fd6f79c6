package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import kotlin.random.Random

private const val CHUNK_KIND = "chat.completion.chunk"
private const val ANSWER_KIND = "chat.completion"

/**
 * Deterministic answer to one request: equal requests get byte-identical answers.
 *
 * @param request the request to answer.
 */
internal class AnswerPlan(
    private val request: ChatRequest,
) {
    private val id = "chatcmpl-" + request.seed.toULong().toString(radix = 16)
    private val words: List<String> =
        Random(request.seed).let { random ->
            List(request.answerTokens) { random.word() }
        }
    private val usage = ChatUsage(promptTokens(request.promptText), request.answerTokens)

    val tokens: Int
        get() = words.size

    /** Returns the complete answer as one JSON document. */
    fun wholeAnswer(): String {
        val message = ChatMessage("assistant", words.joinToString(""))
        return encode(ANSWER_KIND, listOf(ChatChoice(message = message, finishReason = "stop")), usage)
    }

    /** Returns the server-sent event for the token at the zero-based [index]. */
    fun tokenEvent(index: Int): Buffer {
        val choice = ChatChoice(delta = ChatDelta(words[index]))
        return event(index + 1, encode(CHUNK_KIND, listOf(choice), null))
    }

    /** Returns the events after the last token: the usage and the `[DONE]` marker. */
    fun closingEvents(): List<Buffer> {
        val choice = ChatChoice(delta = ChatDelta(), finishReason = "stop")
        return listOf(
            event(tokens + 1, encode(CHUNK_KIND, listOf(choice), usage)),
            event(tokens + 2, "[DONE]"),
        )
    }

    private fun encode(kind: String, choices: List<ChatChoice>, usage: ChatUsage?): String =
        standInJson.encodeToString(ChatAnswer(id, kind, request.model, choices, usage))

    private fun event(eventId: Int, data: String): Buffer = Buffer.buffer("id: $eventId\ndata: $data\n\n")

    private fun Random.word(): String = WORDS[nextInt(WORDS.size)] + " "

    private companion object {
        private val WORDS =
            listOf(
                "fibre",
                "gloss",
                "matt",
                "beater",
                "drop",
                "route",
                "tin",
                "stock",
                "refill",
                "floor",
                "pulp",
                "recipe",
                "sealant",
                "batch",
                "depot",
                "polish",
            )
    }
}
