package toucanrelay.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the runs per key. */
internal class RunCounter {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Records one run for [key] and returns the number of runs so far. */
    fun recordRun(key: String): Int = runs.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()

    fun runs(key: String): Int = runs[key]?.get() ?: 0

    /** Returns the run counts of all keys that ran more than once. */
    fun repeated(): Map<String, Int> = runs.mapValues { it.value.get() }.filterValues { it > 1 }

    fun total(): Int = runs.values.sumOf { it.get() }
}
