package toucanrelay.measure.load

/** What one event of a streamed answer was. */
internal enum class StreamEvent {
    TOKEN,
    USAGE,
    END,
    ERROR,
    OUT_OF_ORDER,
}

/** Reads the events of one streamed answer and checks that none is lost, doubled or crossed. */
internal class EventStreamCheck {
    private var lastId = 0
    private var sawUsage = false

    var isWhole: Boolean = false
        private set

    /** Tells what [event] was, the text between two empty lines. */
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
                isWhole = sawUsage
                StreamEvent.END
            }

            "\"usage\":{" in event -> {
                sawUsage = true
                StreamEvent.USAGE
            }

            else -> {
                StreamEvent.TOKEN
            }
        }
}
