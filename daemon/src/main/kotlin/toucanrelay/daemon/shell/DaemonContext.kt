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
 * Services shared by the components of one daemon; immutable, created when the daemon starts.
 *
 * @property settings the checked settings.
 * @property run this run of the process.
 * @property clock the monotonic clock.
 * @property scope scope of background jobs; cancelled when the daemon stops.
 * @property vertx creates the HTTP servers and clients of this daemon.
 * @property meters metrics of this daemon.
 * @property tables the platform's table service.
 * @property bundles provides the bundle in force.
 * @property bundleExchange distributes bundles over links.
 * @property directory the known instances of the fleet.
 * @property ledger the service that each organisation received in the fleet.
 * @property orders registry of non-idempotent orders.
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
