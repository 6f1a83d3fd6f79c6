package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * What the platform holds; used on one event loop, but for the faults, the counters and the list of instances, which
 * is guarded by its own monitor.
 *
 * @param settings limits.
 */
internal class PlatformState(
    settings: PlatformSettings,
) {
    val rows = RowStore()
    val objects = HashMap<String, Buffer>()
    val instances = LaggingInstanceList()
    val weightLimit = RateLimit(settings.weightReadsPerSecond)
    val tableWriteLimit = RateLimit(settings.tableWritesPerSecond)
    val faults = AtomicReference(PlatformFaults())
    val tableReads = AtomicLong()
    val tableWrites = AtomicLong()
    val tableConflicts = AtomicLong()
    val objectReads = AtomicLong()
    val objectWrites = AtomicLong()
    val listReads = AtomicLong()
    val weightReads = AtomicLong()

    /** Takes one of the lost answers that are due; returns whether there was one. */
    fun takeLostAnswer(): Boolean {
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
