package toucanrelay.standins

import java.util.UUID

/**
 * One engine's runs: each starts with an identity of its own, and cold unless it is the first and told otherwise.
 *
 * @param settings what a cold engine bears.
 */
internal class EngineLife(
    private val settings: ColdStart,
) {
    private var startedAtNanoseconds = System.nanoTime()
    private var completions = 0
    private var mayBeCold = settings.startsCold

    @Volatile
    var startIdentity: String = newIdentity()
        private set

    val isCold: Boolean
        get() = mayBeCold && completions < settings.completions && warmUpMilliseconds() < settings.warmUpMilliseconds

    val slowdown: Double
        get() = if (isCold) settings.slowdown else 1.0

    fun noteCompletion() {
        completions += 1
    }

    /** Begins a new run, which is cold. */
    fun restart() {
        startIdentity = newIdentity()
        startedAtNanoseconds = System.nanoTime()
        completions = 0
        mayBeCold = true
    }

    private fun warmUpMilliseconds() = (System.nanoTime() - startedAtNanoseconds) / 1_000_000

    private fun newIdentity() = UUID.randomUUID().toString()
}
