package toucanrelay.daemon.shell

import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock
import toucanrelay.daemon.fleet.BundleExchange
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.FleetDirectory
import toucanrelay.daemon.fleet.ServiceLedger
import toucanrelay.daemon.order.OrderRegistry
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.store.table.TableService

/**
 * What the parts of one daemon share; immutable, made once at the start.
 *
 * @property settings the checked settings.
 * @property run this run of the process.
 * @property clock the monotonic clock.
 * @property scope ends when the daemon stops.
 * @property vertx HTTP servers and clients of this daemon.
 * @property meters counters and gauges of this daemon.
 * @property tables the platform's table service.
 * @property bundles the bundle in force.
 * @property bundleExchange passes bundles over links.
 * @property directory the known instances.
 * @property ledger service by organisation over the fleet.
 * @property orders claims of non-idempotent orders.
 */
public class DaemonContext(
    public val settings: DaemonSettings,
    public val run: ProcessRun,
    public val clock: Clock,
    public val scope: CoroutineScope,
    public val vertx: Vertx,
    public val meters: MeterRegistry,
    public val tables: TableService,
    public val bundles: BundleRegister,
    public val bundleExchange: BundleExchange,
    public val directory: FleetDirectory,
    public val ledger: ServiceLedger,
    public val orders: OrderRegistry,
)
