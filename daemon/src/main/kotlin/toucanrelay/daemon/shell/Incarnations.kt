package toucanrelay.daemon.shell

import toucanrelay.core.identity.Incarnation
import java.util.concurrent.atomic.AtomicLong

/**
 * Numbers the runs of processes by the time of their start.
 *
 * Processes keep nothing over a restart, so the wall clock of the instance orders the runs; within one Java virtual
 * machine the numbers grow even when it does not.
 */
internal object Incarnations {
    private val last = AtomicLong()

    /** A number higher than any that this machine gave before. */
    fun next(): Incarnation = Incarnation(last.updateAndGet { maxOf(it + 1, System.currentTimeMillis()) })
}
