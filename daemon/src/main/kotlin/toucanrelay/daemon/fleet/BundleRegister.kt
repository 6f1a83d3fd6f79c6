package toucanrelay.daemon.fleet

import kotlinx.coroutines.flow.StateFlow
import toucanrelay.core.bundle.Bundle

/** Provides the bundle in force on this process. */
public interface BundleRegister {
    /**
     * The bundle in force; null until one is confirmed to be no older than the one that the fleet runs.
     *
     * Each read of the value checks whether this process was paused; after a pause it is null until a new confirmation.
     */
    public val current: StateFlow<Bundle?>

    /** Returns the bundle in force now, or null. */
    public fun inForce(): Bundle? = current.value
}
