package toucanrelay.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts how often each order ran. */
internal class RunCounter {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Counts one run of the order [key] and returns how many there are now. */
    fun count(key: String): Int = runs.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()

    fun runs(key: String): Int = runs[key]?.get() ?: 0

    /** The orders that ran more than once. */
    fun repeated(): Map<String, Int> = runs.mapValues { it.value.get() }.filterValues { it > 1 }

    fun total(): Int = runs.values.sumOf { it.get() }
}
