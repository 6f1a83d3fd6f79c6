package toucanrelay.measure.load

/** The kind of an event in a streamed answer. */
internal enum class StreamEvent {
    TOKEN,
    USAGE,
    END,
    ERROR,
    OUT_OF_ORDER,
}

/** Validates that no event of a streamed answer is lost, duplicated or reordered. */
internal class EventStreamValidator {
    private var lastId = 0
    private var hasUsage = false

    /** Whether the usage and the end marker were received. */
    var isComplete: Boolean = false
        private set

    /** Classifies [event], the text between two empty lines. */
    fun accept(event: String): StreamEvent {
        if (event.startsWith("event: error") || "\nevent: error" in event) return StreamEvent.ERROR
        val id = event.substringBefore('\n').removePrefix("id: ").toIntOrNull()
        if (id != lastId + 1) return StreamEvent.OUT_OF_ORDER
        lastId = id
        return classify(event)
    }

    private fun classify(event: String): StreamEvent =
        when {
            event.endsWith("data: [DONE]") -> {
                isComplete = hasUsage
                StreamEvent.END
            }

            "\"usage\":{" in event -> {
                hasUsage = true
                StreamEvent.USAGE
            }

            else -> {
                StreamEvent.TOKEN
            }
        }
}
