package toucanrelay.daemon.fleet

import kotlinx.coroutines.flow.StateFlow
import toucanrelay.core.bundle.Bundle

/** The bundle in force on this process. */
public interface BundleRegister {
    /** The bundle in force, or null until one is known to be no older than what the fleet runs. */
    public val current: StateFlow<Bundle?>

    /**
     * The bundle in force, checked at this moment.
     *
     * A process that was paused for long gets null here at once, while [current] may still show the bundle of before.
     */
    public fun inForce(): Bundle? = current.value
}
