package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * State of the platform. Confined to one event loop, except for the atomic faults and counters and for [instances],
 * which is guarded by its own monitor.
 *
 * @param settings rate limits.
 */
internal class PlatformState(
    settings: PlatformSettings,
) {
    val rows = RowStore()
    val objects = HashMap<String, Buffer>()
    val instances = LaggingInstanceList()
    val weightLimit = RateLimiter(settings.weightReadsPerSecond)
    val tableWriteLimit = RateLimiter(settings.tableWritesPerSecond)
    val faults = AtomicReference(PlatformFaults())
    val tableReads = AtomicLong()
    val tableWrites = AtomicLong()
    val tableConflicts = AtomicLong()
    val objectReads = AtomicLong()
    val objectWrites = AtomicLong()
    val listReads = AtomicLong()
    val weightReads = AtomicLong()

    /** Decrements the number of answers still to be lost; returns whether the current answer is to be lost. */
    fun consumeLostAnswer(): Boolean {
        val before = faults.getAndUpdate { it.copy(loseAnswersOfNextWrites = maxOf(it.loseAnswersOfNextWrites - 1, 0)) }
        return before.loseAnswersOfNextWrites > 0
    }

    fun counts(): PlatformCounts =
        PlatformCounts(
            tableReads = tableReads.get(),
            tableWrites = tableWrites.get(),
            tableConflicts = tableConflicts.get(),
            objectReads = objectReads.get(),
            objectWrites = objectWrites.get(),
            listReads = listReads.get(),
            weightReads = weightReads.get(),
        )
}
