package toucanrelay.daemon.fleet

import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat

/**
 * Passes bundles between processes over links that exist anyway.
 *
 * Each end of a link sends [heartbeat]s; the end that learns of a higher version asks for it with [wanted], the other
 * answers with [update], and the first takes it in with [accept].
 */
public interface BundleExchange {
    /** Builds the heartbeat that states which bundle this process holds. */
    public fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat

    /** The request to send for the bundle that [peer]'s heartbeat names; null when this process needs nothing. */
    public fun wanted(peer: Heartbeat): BundleWanted?

    /** The answer to [request]; null when this process holds no bundle. */
    public fun update(request: BundleWanted): BundleUpdate?

    /** Verifies the signature of [update] and puts it in force if its version is higher than any seen. */
    public fun accept(update: BundleUpdate)
}
