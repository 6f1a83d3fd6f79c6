package toucanrelay.daemon.fleet

import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat

/**
 * Distributes bundles between processes over the links that they already have.
 *
 * Each end of a link sends [heartbeat]s and passes those of the other end to [receiveHeartbeat]. If that returns a
 * request, it is sent to the other end, which responds with [updateFor]; the first end passes the response to
 * [receiveUpdate].
 */
public interface BundleExchange {
    /**
     * Returns a heartbeat with the version of the bundle that this process holds and the age of its confirmation.
     *
     * @param sequence number of the heartbeat on its link.
     * @param acknowledged number of the last heartbeat received on the link.
     */
    public fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat

    /**
     * Applies the confirmation in a peer's [heartbeat] to the held bundle.
     *
     * @return the request for the peer's bundle; null when this process does not need it or has just requested it.
     */
    public fun receiveHeartbeat(heartbeat: Heartbeat): BundleWanted?

    /** Returns the response to [request]; null when this process holds no bundle. */
    public fun updateFor(request: BundleWanted): BundleUpdate?

    /**
     * Verifies the signature of [update] and holds its bundle if the version is higher than any held before.
     *
     * The bundle comes into force when its version is confirmed.
     */
    public fun receiveUpdate(update: BundleUpdate)
}
