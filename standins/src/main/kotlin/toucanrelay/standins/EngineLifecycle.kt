package toucanrelay.standins

import java.util.UUID

/**
 * Tracks the engine's current run: its identity and whether it is cold. The first run starts cold only if
 * [ColdStart.startsCold] is set; later runs always do.
 *
 * @param settings cold-start behaviour.
 */
internal class EngineLifecycle(
    private val settings: ColdStart,
) {
    private var startedAtNanoseconds = System.nanoTime()
    private var completions = 0
    private var startedCold = settings.startsCold

    @Volatile
    var startIdentity: String = newIdentity()
        private set

    val isCold: Boolean
        get() = startedCold && completions < settings.completions && uptimeMilliseconds() < settings.warmUpMilliseconds

    val slowdown: Double
        get() = if (isCold) settings.slowdown else 1.0

    fun recordCompletion() {
        completions += 1
    }

    /** Begins a new, cold run. */
    fun restart() {
        startIdentity = newIdentity()
        startedAtNanoseconds = System.nanoTime()
        completions = 0
        startedCold = true
    }

    private fun uptimeMilliseconds() = (System.nanoTime() - startedAtNanoseconds) / 1_000_000

    private fun newIdentity() = UUID.randomUUID().toString()
}
