package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PrefixResidency
import toucanrelay.core.placement.PromptProfile

/** An engine that reads prompts one after the other and then generates the answers side by side. */
internal class SimulatedEngine(
    name: String,
    val region: Int,
    private val tokensPerMillisecond: Int,
) {
    private class Run(
        var unreadTokens: Long,
        val onStart: () -> Unit,
        val onFirstEvent: () -> Unit,
        val onEnd: () -> Unit,
    ) {
        var isStarted = false
    }

    private class Generation(
        val endsAtMilliseconds: Long,
        val onEnd: () -> Unit,
    )

    val id = TargetId(name)
    private val residency = PrefixResidency(CACHE_TOKENS)

    /** Whether the engine works; one that does not keeps what it has and reads nothing. */
    var isRunning = true
    private val waiting = ArrayDeque<Run>()
    private val generating = mutableListOf<Generation>()

    /** Tokens of [prompt] that the engine has cached. */
    fun residentTokens(prompt: PromptProfile): Int =
        prompt.sharedParts.sumOf { if (it.id == SHARED_BY_ALL) it.tokens else residency.residentTokens(listOf(it)) }

    /** Records that the engine reads [prompt]. */
    fun recordRead(prompt: PromptProfile) = residency.recordRead(prompt.sharedParts)

    /** Queues a prompt with [unreadTokens] to read. */
    fun submit(
        unreadTokens: Long,
        onStart: () -> Unit,
        onFirstEvent: () -> Unit,
        onEnd: () -> Unit,
    ) {
        waiting += Run(unreadTokens, onStart, onFirstEvent, onEnd)
    }

    /** Reads for [milliseconds] until [nowMilliseconds]. */
    fun read(milliseconds: Long, nowMilliseconds: Long) {
        if (!isRunning) return
        var budget = milliseconds * tokensPerMillisecond
        while (budget > 0 && waiting.isNotEmpty()) budget -= readNext(budget, nowMilliseconds)
        val ended = generating.filter { it.endsAtMilliseconds <= nowMilliseconds }
        generating.removeAll(ended)
        ended.forEach { it.onEnd() }
    }

    private fun readNext(budget: Long, nowMilliseconds: Long): Long {
        val run = waiting.first()
        if (!run.isStarted) run.onStart()
        run.isStarted = true
        val tokens = minOf(budget, run.unreadTokens)
        run.unreadTokens -= tokens
        if (run.unreadTokens == 0L) {
            waiting.removeFirst()
            run.onFirstEvent()
            generating += Generation(nowMilliseconds + GENERATION_MILLISECONDS, run.onEnd)
        }
        return tokens
    }

    private companion object {
        const val GENERATION_MILLISECONDS = 400L
        const val CACHE_TOKENS = 200_000L
    }
}
