package toucanrelay.measure.fleet

import java.lang.management.ManagementFactory

/**
 * Sums the processor time of all threads started after the meter was created.
 *
 * Daemons, stand-ins and callers run in one process; to exclude some, start their threads before creating the meter.
 */
internal class ProcessorMeter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val excludedThreadIds: Set<Long> = threads.allThreadIds.toSet()
    private val nanosecondsByThreadId = HashMap<Long, Long>()

    /** Returns the total processor time so far in milliseconds. */
    fun milliseconds(): Double {
        update()
        return nanosecondsByThreadId.values.sum() / NANOSECONDS_PER_MILLISECOND
    }

    /** Returns the processor time of the busiest thread so far in milliseconds. */
    fun busiestThreadMilliseconds(): Double {
        update()
        return (nanosecondsByThreadId.values.maxOrNull() ?: 0) / NANOSECONDS_PER_MILLISECOND
    }

    private fun update() {
        threads.allThreadIds.filter { it !in excludedThreadIds }.forEach { id ->
            val nanoseconds = threads.getThreadCpuTime(id)
            if (nanoseconds >= 0) nanosecondsByThreadId[id] = nanoseconds
        }
    }

    private companion object {
        private const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
