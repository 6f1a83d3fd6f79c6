package toucanrelay.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Result of submitting a request to the engine. */
internal sealed interface Submission {
    /** The request is queued or running as [stream]. */
    data class Accepted(
        val stream: GenerationStream,
    ) : Submission

    /** The request exceeded the limit of a cold engine, which failed and restarted. */
    data object Overloaded : Submission
}

/**
 * The engine without its HTTP interface. Confined to one event loop, except for the counters.
 *
 * @param settings behaviour of the engine.
 */
internal class EngineCore(
    private val settings: EngineSettings,
) {
    private val streams = HashMap<String, GenerationStream>()
    private val runsByRequest = ConcurrentHashMap<String, Int>()
    private val received = AtomicLong()
    private val completed = AtomicLong()
    private val cancelled = AtomicLong()
    private val peakRequests = AtomicInteger()
    private val coldOverloads = AtomicInteger()
    private lateinit var scope: CoroutineScope
    private lateinit var report: LoadReport
    private var reportedAtNanoseconds = 0L
    private var reportedTokens = 0L

    @Volatile
    var lastRequestAtNanoseconds: Long = 0
        private set

    val lifecycle = EngineLifecycle(settings.coldStart)
    val models = ModelRegistry(settings.models, settings.checksFencing)
    val orders = CopyOnWriteArrayList<ModelOrder>()
    val batch = ContinuousBatch(settings, { lifecycle.slowdown }, ::onStreamFinished)

    fun start(scope: CoroutineScope) {
        this.scope = scope
        refreshLoadReport()
        scope.launch { batch.run() }
        scope.launch {
            while (true) {
                delay(settings.loadLagMilliseconds.coerceAtLeast(1))
                refreshLoadReport()
            }
        }
    }

    /** Accepts [request]; if the engine is cold and already at its limit of requests, the engine fails and restarts. */
    fun submit(requestId: String, request: ChatRequest): Submission {
        lastRequestAtNanoseconds = System.nanoTime()
        runsByRequest.merge(requestId, 1, Int::plus)
        received.incrementAndGet()
        val inProgress = batch.runningRequests + batch.waitingRequests
        if (lifecycle.isCold && inProgress >= settings.coldStart.requests) {
            coldOverloads.incrementAndGet()
            restart(settings.coldStart.losesStreams)
            return Submission.Overloaded
        }
        peakRequests.accumulateAndGet(inProgress + 1, ::maxOf)
        val prefixHash = promptPrefixHash(request.messages.map { it.content })
        val stream = GenerationStream(requestId, AnswerPlan(request), promptTokens(request.promptText), prefixHash)
        streams[requestId] = stream
        batch.submit(stream)
        return Submission.Accepted(stream)
    }

    fun stream(requestId: String): GenerationStream? = streams[requestId]

    fun cancel(stream: GenerationStream) {
        if (stream.isEnded) return
        stream.cancel()
        cancelled.incrementAndGet()
        batch.removeCancelled()
    }

    /**
     * Cancels [stream] if it still has no reader after [EngineSettings.resumeGraceMilliseconds], and then removes it if
     * it is over.
     */
    fun cancelUnlessResumed(stream: GenerationStream) {
        scope.launch {
            delay(settings.resumeGraceMilliseconds)
            if (stream.readers == 0) cancel(stream)
            removeIfEnded(stream)
        }
    }

    /** Restarts the engine cold with a new identity; cancels all streams if [losesStreams] is true. */
    fun restart(losesStreams: Boolean) {
        lifecycle.restart()
        batch.prefixCache.clear()
        if (!losesStreams) return
        cancelled.addAndGet((batch.runningRequests + batch.waitingRequests).toLong())
        batch.cancelAll()
        streams.clear()
    }

    fun loadReport(): LoadReport = report.copy(reportAgeMilliseconds = millisecondsSince(reportedAtNanoseconds))

    fun runs(requestId: String): Int = runsByRequest[requestId] ?: 0

    fun counts(): EngineCounts =
        EngineCounts(
            requests = received.get(),
            completions = completed.get(),
            peakRequests = peakRequests.get(),
            coldOverloads = coldOverloads.get(),
            cancelled = cancelled.get(),
            generatedTokens = batch.generatedTokens,
            busySlotMilliseconds = batch.busySlotMilliseconds,
        )

    private fun onStreamFinished(stream: GenerationStream) {
        completed.incrementAndGet()
        lifecycle.recordCompletion()
        scope.launch {
            delay(settings.resumeGraceMilliseconds)
            removeIfEnded(stream)
        }
    }

    private fun removeIfEnded(stream: GenerationStream) {
        if (stream.isEnded && streams[stream.requestId] === stream) streams.remove(stream.requestId)
    }

    private fun refreshLoadReport() {
        val seconds = millisecondsSince(reportedAtNanoseconds).coerceAtLeast(1) / 1_000.0
        val tokens = batch.generatedTokens
        report =
            LoadReport(
                startIdentity = lifecycle.startIdentity,
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
