package toucanrelay.standins

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/** Maximum lag behind the schedule that the batch catches up on; any further lag is dropped. */
private const val MAX_CATCH_UP_NANOSECONDS = 50 * NANOSECONDS_PER_MILLISECOND

/**
 * Generates tokens for a fixed number of requests at a time, one token per request and step; the others wait in FIFO
 * order.
 *
 * @param settings number of slots and timing.
 * @param slowdown factor by which all times are multiplied; read at each step.
 * @param onFinished called for each stream that has generated its last token.
 */
internal class ContinuousBatch(
    private val settings: EngineSettings,
    private val slowdown: () -> Double,
    private val onFinished: (GenerationStream) -> Unit,
) {
    private val running = mutableListOf<GenerationStream>()
    private val waiting = ArrayDeque<GenerationStream>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val cache = PrefixCache(settings.prefixCache)
    private val busyNanoseconds = AtomicLong()
    private val generated = AtomicLong()
    private val runningCount = AtomicInteger()
    private var accountedAtNanoseconds = System.nanoTime()

    /** Busy time in milliseconds, summed over all slots. */
    val busySlotMilliseconds: Long
        get() = busyNanoseconds.get() / NANOSECONDS_PER_MILLISECOND

    val generatedTokens: Long
        get() = generated.get()

    val runningRequests: Int
        get() = runningCount.get()

    val waitingRequests: Int
        get() = waiting.size

    val prefixCache: PrefixCache
        get() = cache

    fun submit(stream: GenerationStream) {
        waiting += stream
        admit()
        wakeUp.trySend(Unit)
    }

    /** Removes cancelled streams and admits waiting ones. */
    fun removeCancelled() {
        accountBusyTime()
        running.removeAll { it.isEnded }
        waiting.removeAll { it.isEnded }
        admit()
    }

    /** Cancels all running and waiting streams. */
    fun cancelAll() {
        (running + waiting).forEach { it.cancel() }
        removeCancelled()
    }

    /** Runs generation steps until the coroutine is cancelled. */
    suspend fun run() {
        var due = System.nanoTime()
        while (true) {
            if (running.isEmpty()) {
                wakeUp.receive()
                due = System.nanoTime()
                continue
            }
            val step = settings.timing.stepMilliseconds(running.size) * slowdown() * NANOSECONDS_PER_MILLISECOND
            due = maxOf(due + step.toLong(), System.nanoTime() - MAX_CATCH_UP_NANOSECONDS)
            waitUntil(due)
            generateTokens()
        }
    }

    private suspend fun waitUntil(dueNanoseconds: Long) {
        val wait = dueNanoseconds - System.nanoTime()
        if (wait >= NANOSECONDS_PER_MILLISECOND) delay(wait / NANOSECONDS_PER_MILLISECOND) else yield()
    }

    private fun generateTokens() {
        accountBusyTime()
        val now = System.nanoTime()
        val ready = running.filter { it.firstTokenAtNanoseconds <= now }
        ready.forEach { it.generateToken() }
        generated.addAndGet(ready.size.toLong())
        val finished = ready.filter { it.isEnded }
        if (finished.isNotEmpty()) {
            running.removeAll { it.isEnded }
            finished.forEach(onFinished)
            admit()
        }
        // Readers are notified last, so that the counters include an answer before its reader gets it.
        ready.forEach { it.notifyReaders() }
    }

    private fun admit() {
        accountBusyTime()
        while (running.size < settings.slots && waiting.isNotEmpty()) {
            val stream = waiting.removeFirst()
            stream.start(System.nanoTime() + firstTokenNanoseconds(stream))
            running += stream
        }
        runningCount.set(running.size)
    }

    private fun firstTokenNanoseconds(stream: GenerationStream): Long {
        val cached = cache.lookUpOrInsert(stream.prefixHash, System.nanoTime() / NANOSECONDS_PER_MILLISECOND)
        val cachedTokens =
            if (cached) {
                minOf(
                    stream.promptTokens,
                    promptTokens(" ".repeat(PROMPT_PREFIX_CHARACTERS)),
                )
            } else {
                0
            }
        val timing = settings.timing
        val prompt = timing.promptMillisecondsPerToken * (stream.promptTokens - cachedTokens)
        return ((timing.firstTokenMilliseconds + prompt) * slowdown() * NANOSECONDS_PER_MILLISECOND).toLong()
    }

    private fun accountBusyTime() {
        val now = System.nanoTime()
        busyNanoseconds.addAndGet((now - accountedAtNanoseconds) * running.size)
        accountedAtNanoseconds = now
    }
}
