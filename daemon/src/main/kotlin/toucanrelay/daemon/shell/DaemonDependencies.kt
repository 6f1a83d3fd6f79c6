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
 * Dependencies from which the components of a daemon are created; immutable.
 *
 * @property settings the checked settings.
 * @property run this run of the process.
 * @property clock the monotonic clock.
 * @property scope scope of background jobs; cancelled when the daemon stops.
 * @property vertx creates the HTTP servers and clients of this daemon.
 * @property meters metrics of this daemon.
 * @property platform client of the platform.
 * @property verifier verifies the operators' signatures on bundles.
 */
public class DaemonDependencies(
    public val settings: DaemonSettings,
    public val run: ProcessRun,
    public val clock: Clock,
    public val scope: CoroutineScope,
    public val vertx: Vertx,
    public val meters: MeterRegistry,
    public val platform: Platform,
    public val verifier: BundleVerifier,
)
