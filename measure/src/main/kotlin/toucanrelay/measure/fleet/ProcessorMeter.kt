package toucanrelay.measure.fleet

import java.lang.management.ManagementFactory

/**
 * Adds up the processor time of the threads that are started after it was made.
 *
 * Daemons, stand-ins and callers run in one process; those whose threads run already when the meter is made are left out.
 */
internal class ProcessorMeter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val others: Set<Long> = threads.allThreadIds.toSet()
    private val latest = HashMap<Long, Long>()

    /** Processor time so far in milliseconds. */
    fun milliseconds(): Double {
        read()
        return latest.values.sum() / NANOSECONDS_IN_A_MILLISECOND
    }

    /** Processor time of the busiest thread so far in milliseconds. */
    fun busiestThreadMilliseconds(): Double {
        read()
        return (latest.values.maxOrNull() ?: 0) / NANOSECONDS_IN_A_MILLISECOND
    }

    private fun read() {
        threads.allThreadIds.filter { it !in others }.forEach { id ->
            val nanoseconds = threads.getThreadCpuTime(id)
            if (nanoseconds >= 0) latest[id] = nanoseconds
        }
    }

    private companion object {
        private const val NANOSECONDS_IN_A_MILLISECOND = 1e6
    }
}
