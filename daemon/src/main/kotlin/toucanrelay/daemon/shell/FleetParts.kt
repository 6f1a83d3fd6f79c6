package toucanrelay.daemon.shell

import io.grpc.BindableService
import kotlinx.collections.immutable.PersistentList
import toucanrelay.daemon.fleet.BundleExchange
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.FleetDirectory
import toucanrelay.daemon.fleet.ServiceLedger

/** The parts of a daemon that act together with the other processes of the fleet. */
public interface FleetParts {
    /** The bundle in force. */
    public val bundles: BundleRegister

    /** Passes bundles over links. */
    public val bundleExchange: BundleExchange

    /** The known instances. */
    public val directory: FleetDirectory

    /** Service by organisation over the fleet. */
    public val ledger: ServiceLedger

    /** Services to offer on the process's link port. */
    public val services: PersistentList<BindableService>

    /** Starts reading the platform and talking to the neighbours; the link port is bound after this returns. */
    public suspend fun start()

    /** Frees what the parts hold. */
    public suspend fun close()
}
