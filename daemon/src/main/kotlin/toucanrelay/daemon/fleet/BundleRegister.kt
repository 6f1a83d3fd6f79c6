package toucanrelay.daemon.fleet

import kotlinx.coroutines.flow.StateFlow
import toucanrelay.core.bundle.Bundle

/** The bundle in force on this process. */
public interface BundleRegister {
    /**
     * The bundle in force, or null until one is known to be no older than what the fleet runs.
     *
     * A read of the value checks at that moment whether this process was paused; it is then null until it is confirmed.
     */
    public val current: StateFlow<Bundle?>

    /** The bundle in force at this moment. */
    public fun inForce(): Bundle? = current.value
}
