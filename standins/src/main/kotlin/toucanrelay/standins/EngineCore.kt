package toucanrelay.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** What became of a request that reached the engine. */
internal sealed interface Submission {
    /** The engine works on it. */
    data class Taken(
        val stream: GenerationStream,
    ) : Submission

    /** The engine was cold, had too much and failed. */
    data object Overloaded : Submission
}

/**
 * The engine without its HTTP interface; used on one event loop, but for the counters.
 *
 * @param settings how it behaves.
 */
internal class EngineCore(
    private val settings: EngineSettings,
) {
    private val streams = HashMap<String, GenerationStream>()
    private val runs = ConcurrentHashMap<String, Int>()
    private val taken = AtomicLong()
    private val completed = AtomicLong()
    private val cancelled = AtomicLong()
    private val peak = AtomicInteger()
    private val coldOverloads = AtomicInteger()
    private lateinit var scope: CoroutineScope
    private lateinit var report: LoadReport
    private var reportedAtNanoseconds = 0L
    private var reportedTokens = 0L

    @Volatile
    var lastRequestAtNanoseconds: Long = 0
        private set

    val life = EngineLife(settings.coldStart)
    val models = ModelShelf(settings.models, settings.checksFencing)
    val orders = CopyOnWriteArrayList<ModelOrder>()
    val batch = ContinuousBatch(settings, { life.slowdown }, ::finished)

    fun start(scope: CoroutineScope) {
        this.scope = scope
        makeReport()
        scope.launch { batch.run() }
        scope.launch {
            while (true) {
                delay(settings.loadLagMilliseconds.coerceAtLeast(1))
                makeReport()
            }
        }
    }

    /** Takes [request], or fails when the engine is cold and holds as much as it bears. */
    fun submit(requestId: String, request: ChatRequest): Submission {
        lastRequestAtNanoseconds = System.nanoTime()
        runs.merge(requestId, 1, Int::plus)
        taken.incrementAndGet()
        val held = batch.runningRequests + batch.waitingRequests
        if (life.isCold && held >= settings.coldStart.requests) {
            coldOverloads.incrementAndGet()
            restart(settings.coldStart.losesStreams)
            return Submission.Overloaded
        }
        peak.accumulateAndGet(held + 1, ::maxOf)
        val prefixHash = promptPrefixHash(request.messages.map { it.content })
        val stream = GenerationStream(requestId, AnswerPlan(request), promptTokens(request.promptText), prefixHash)
        streams[requestId] = stream
        batch.submit(stream)
        return Submission.Taken(stream)
    }

    fun stream(requestId: String): GenerationStream? = streams[requestId]

    fun cancel(stream: GenerationStream) {
        if (stream.isOver) return
        stream.cancel()
        cancelled.incrementAndGet()
        batch.removeCancelled()
    }

    /** Cancels [stream] unless it finishes, or somebody reads it, within the grace. */
    fun noteReaderGone(stream: GenerationStream) {
        scope.launch {
            delay(settings.resumeGraceMilliseconds)
            if (stream.readers == 0) cancel(stream)
            forget(stream)
        }
    }

    /** Starts anew, cold and with another identity. */
    fun restart(losesStreams: Boolean) {
        life.restart()
        batch.prefixCache.clear()
        if (!losesStreams) return
        cancelled.addAndGet((batch.runningRequests + batch.waitingRequests).toLong())
        batch.cancelAll()
        streams.clear()
    }

    fun loadReport(): LoadReport = report.copy(reportAgeMilliseconds = millisecondsSince(reportedAtNanoseconds))

    fun runs(requestId: String): Int = runs[requestId] ?: 0

    fun counts(): EngineCounts =
        EngineCounts(
            requests = taken.get(),
            completions = completed.get(),
            peakRequests = peak.get(),
            coldOverloads = coldOverloads.get(),
            cancelled = cancelled.get(),
            generatedTokens = batch.generatedTokens,
            busySlotMilliseconds = batch.busySlotMilliseconds,
        )

    private fun finished(stream: GenerationStream) {
        completed.incrementAndGet()
        life.noteCompletion()
        scope.launch {
            delay(settings.resumeGraceMilliseconds)
            forget(stream)
        }
    }

    private fun forget(stream: GenerationStream) {
        if (stream.isOver && streams[stream.requestId] === stream) streams.remove(stream.requestId)
    }

    private fun makeReport() {
        val seconds = millisecondsSince(reportedAtNanoseconds).coerceAtLeast(1) / 1_000.0
        val tokens = batch.generatedTokens
        report =
            LoadReport(
                startIdentity = life.startIdentity,
                running = batch.runningRequests,
                waiting = batch.waitingRequests,
                slots = settings.slots,
                generatedTokensPerSecond = (tokens - reportedTokens) / seconds,
                reportAgeMilliseconds = 0,
            )
        reportedAtNanoseconds = System.nanoTime()
        reportedTokens = tokens
    }

    private fun millisecondsSince(nanoseconds: Long) = (System.nanoTime() - nanoseconds) / 1_000_000
}
