package toucanrelay.daemon.fleet

import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat

/**
 * Distributes bundles between processes over the links that they already have.
 *
 * Each end of a link sends [heartbeat]s. An end that receives one with a higher version requests it with [wanted]; the
 * other end responds with [update], which the first end passes to [accept].
 */
public interface BundleExchange {
    /** Returns a heartbeat with the version of the bundle that this process holds. */
    public fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat

    /** Returns the request for the bundle version in [peer]; null when this process does not need it now. */
    public fun wanted(peer: Heartbeat): BundleWanted?

    /** Returns the response to [request]; null when this process holds no bundle. */
    public fun update(request: BundleWanted): BundleUpdate?

    /**
     * Verifies the signature of [update] and holds its bundle if the version is higher than any held before.
     *
     * The bundle comes into force when its version is confirmed.
     */
    public fun accept(update: BundleUpdate)
}
