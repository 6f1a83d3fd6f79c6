package toucanrelay.standins

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val NANOSECONDS_IN_A_MILLISECOND = 1_000_000L

/** How far the batch may fall behind its timing before it forgets the rest. */
private const val CATCH_UP_LIMIT_NANOSECONDS = 50 * NANOSECONDS_IN_A_MILLISECOND

/**
 * Generates tokens for a fixed number of requests at a time, one token for each in every step; others wait in order.
 *
 * @param settings slots and timing.
 * @param slowdown factor on every time, read at each step.
 * @param onFinished called for each stream that generated its last token.
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
    private val runningNow = AtomicInteger()
    private var busySince = System.nanoTime()

    /** Slots in use, added up over time. */
    val busySlotMilliseconds: Long
        get() = busyNanoseconds.get() / NANOSECONDS_IN_A_MILLISECOND

    val generatedTokens: Long
        get() = generated.get()

    val runningRequests: Int
        get() = runningNow.get()

    val waitingRequests: Int
        get() = waiting.size

    val prefixCache: PrefixCache
        get() = cache

    fun submit(stream: GenerationStream) {
        waiting += stream
        admit()
        wakeUp.trySend(Unit)
    }

    /** Takes out the streams that were cancelled. */
    fun removeCancelled() {
        accountBusyTime()
        running.removeAll { it.isOver }
        waiting.removeAll { it.isOver }
        admit()
    }

    /** Cancels everything. */
    fun cancelAll() {
        (running + waiting).forEach { it.cancel() }
        removeCancelled()
    }

    /** Runs the steps until the coroutine is cancelled. */
    suspend fun run() {
        var due = System.nanoTime()
        while (true) {
            if (running.isEmpty()) {
                wakeUp.receive()
                due = System.nanoTime()
                continue
            }
            val step = settings.timing.stepMilliseconds(running.size) * slowdown() * NANOSECONDS_IN_A_MILLISECOND
            due = maxOf(due + step.toLong(), System.nanoTime() - CATCH_UP_LIMIT_NANOSECONDS)
            waitUntil(due)
            generateTokens()
        }
    }

    private suspend fun waitUntil(dueNanoseconds: Long) {
        val wait = dueNanoseconds - System.nanoTime()
        if (wait >= NANOSECONDS_IN_A_MILLISECOND) delay(wait / NANOSECONDS_IN_A_MILLISECOND) else yield()
    }

    private fun generateTokens() {
        accountBusyTime()
        val now = System.nanoTime()
        val ready = running.filter { it.firstTokenAtNanoseconds <= now }
        ready.forEach { it.generateToken() }
        generated.addAndGet(ready.size.toLong())
        val finished = ready.filter { it.isOver }
        if (finished.isNotEmpty()) {
            running.removeAll { it.isOver }
            finished.forEach(onFinished)
            admit()
        }
        // Whoever has an answer may count on it being counted, so readers come last.
        ready.forEach { it.announce() }
    }

    private fun admit() {
        accountBusyTime()
        while (running.size < settings.slots && waiting.isNotEmpty()) {
            val stream = waiting.removeFirst()
            stream.start(System.nanoTime() + firstTokenNanoseconds(stream))
            running += stream
        }
        runningNow.set(running.size)
    }

    private fun firstTokenNanoseconds(stream: GenerationStream): Long {
        val cached = cache.use(stream.prefixHash, System.nanoTime() / NANOSECONDS_IN_A_MILLISECOND)
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
        return ((timing.firstTokenMilliseconds + prompt) * slowdown() * NANOSECONDS_IN_A_MILLISECOND).toLong()
    }

    private fun accountBusyTime() {
        val now = System.nanoTime()
        busyNanoseconds.addAndGet((now - busySince) * running.size)
        busySince = now
    }
}
