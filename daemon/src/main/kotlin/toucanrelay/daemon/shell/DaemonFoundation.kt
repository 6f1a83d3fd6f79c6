package toucanrelay.daemon.shell

import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.store.Platform
import toucanrelay.store.bundle.BundleVerifier

/**
 * What a daemon holds before its parts are built; immutable.
 *
 * @property settings the checked settings.
 * @property run this run of the process.
 * @property clock the monotonic clock.
 * @property scope ends when the daemon stops.
 * @property vertx HTTP servers and clients of this daemon.
 * @property meters counters and gauges of this daemon.
 * @property platform the platform's services.
 * @property verifier knows the operators' keys.
 */
public class DaemonFoundation(
    public val settings: DaemonSettings,
    public val run: ProcessRun,
    public val clock: Clock,
    public val scope: CoroutineScope,
    public val vertx: Vertx,
    public val meters: MeterRegistry,
    public val platform: Platform,
    public val verifier: BundleVerifier,
)
