package toucanrelay.daemon.fleet

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import toucanrelay.core.distribution.PollSchedule
import toucanrelay.store.bundle.BundleStore
import kotlin.random.Random

/** Polls the table service for the bundle, at intervals that keep the reads of the whole fleet within their rate. */
internal class BundlePoller(
    private val store: BundleStore,
    private val bundles: HeldBundles,
    private val schedule: PollSchedule,
    private val readerCount: () -> Int,
    private val isNeeded: () -> Boolean,
    meters: MeterRegistry,
) {
    private val reads = meters.counter("toucanrelay.fleet.bundle.reads", "outcome", "read")
    private val failures = meters.counter("toucanrelay.fleet.bundle.reads", "outcome", "failed")

    /** Polls until cancelled. */
    suspend fun run() {
        while (true) {
            if (isNeeded()) readOnce()
            delay(schedule.nextDelayMilliseconds(readerCount(), Random.nextDouble()))
        }
    }

    private suspend fun readOnce() {
        store
            .read()
            .onSuccess { signed ->
                reads.increment()
                signed?.let { bundles.acceptFromTable(it) }
            }.onFailure {
                failures.increment()
                Logger.debug { "fleet: could not read the bundle: ${it.detail}" }
            }
    }
}
