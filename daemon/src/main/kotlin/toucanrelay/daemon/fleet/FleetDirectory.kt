package toucanrelay.daemon.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.StateFlow
import toucanrelay.store.instances.InstanceRecord

/** The instances of the fleet: the platform's list with the leaving instances that linked peers reported. */
public interface FleetDirectory {
    /** All listed instances, live and leaving. */
    public val instances: StateFlow<PersistentList<InstanceRecord>>

    /** The agents that this entry links to: bounded in number, balanced, and stable over small changes of the fleet. */
    public val linkedAgents: StateFlow<PersistentList<InstanceRecord>>
}
