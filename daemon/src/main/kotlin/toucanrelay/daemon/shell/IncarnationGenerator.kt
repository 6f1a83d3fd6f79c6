package toucanrelay.daemon.shell

import toucanrelay.core.identity.Incarnation
import java.util.concurrent.atomic.AtomicLong

/**
 * Generates incarnation numbers from the start time of the process.
 *
 * Processes store nothing across restarts, so the wall clock of the instance orders their runs. Within one JVM the
 * numbers increase even if the clock does not advance.
 */
internal object IncarnationGenerator {
    private val lastNumber = AtomicLong()

    /** Returns a number higher than all numbers generated before in this JVM. */
    fun next(): Incarnation = Incarnation(lastNumber.updateAndGet { maxOf(it + 1, System.currentTimeMillis()) })
}
