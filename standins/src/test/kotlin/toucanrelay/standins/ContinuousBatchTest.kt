package toucanrelay.standins

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch

class ContinuousBatchTest :
    DescribeSpec({
        describe("the end of an answer") {
            it("is counted before any reader resumes") {
                // Unconfined coroutines resume in place, like those of an event loop.
                val scope = CoroutineScope(Dispatchers.Unconfined + Job())
                val timing =
                    EngineTiming(
                        stepMilliseconds = 0.0,
                        stepMillisecondsPerRequest = 0.0,
                        firstTokenMilliseconds = 0.0,
                        promptMillisecondsPerToken = 0.0,
                    )
                var finished = 0
                val batch = ContinuousBatch(EngineSettings(slots = 2, timing = timing), { 1.0 }) { finished += 1 }
                val streams = List(2) { streamOf("request-$it") }
                val countsSeenByReaders =
                    streams.map { stream ->
                        scope.async {
                            stream.awaitEnd()
                            finished
                        }
                    }
                streams.forEach { batch.submit(it) }
                val running = scope.launch(Dispatchers.Default) { batch.run() }
                countsSeenByReaders.awaitAll() shouldBe listOf(2, 2)
                running.cancel()
            }
        }
    })

private fun streamOf(requestId: String): GenerationStream {
    val request = ChatRequest(model = "m", messages = listOf(ChatMessage("user", requestId)), maxTokens = 1)
    return GenerationStream(requestId, AnswerPlan(request), promptTokens = 1, prefixHash = 0)
}
