package toucanrelay.daemon.fleet

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import toucanrelay.core.distribution.PollSchedule
import toucanrelay.store.bundle.BundleStore
import kotlin.random.Random

/** Reads the bundle from the table service at the pace that keeps the fleet's reads within their rate. */
internal class BundlePoller(
    private val store: BundleStore,
    private val bundles: HeldBundles,
    private val schedule: PollSchedule,
    private val readers: () -> Int,
    private val isNeeded: () -> Boolean,
    meters: MeterRegistry,
) {
    private val reads = meters.counter("toucanrelay.fleet.bundle.reads", "outcome", "read")
    private val failures = meters.counter("toucanrelay.fleet.bundle.reads", "outcome", "failed")

    /** Reads until it is cancelled. */
    suspend fun run() {
        while (true) {
            if (isNeeded()) readOnce()
            delay(schedule.nextDelayMilliseconds(readers(), Random.nextDouble()))
        }
    }

    private suspend fun readOnce() {
        store
            .read()
            .onSuccess { signed ->
                reads.increment()
                signed?.let { bundles.takeFromTable(it) }
            }.onFailure {
                failures.increment()
                Logger.debug { "fleet: bundle not read: ${it.detail}" }
            }
    }
}
