package toucanrelay.daemon.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.StateFlow
import toucanrelay.store.instances.InstanceRecord

/** The instances of the fleet as this process knows them: the platform's list, corrected by what links show. */
public interface FleetDirectory {
    /** All known instances, live and leaving. */
    public val instances: StateFlow<PersistentList<InstanceRecord>>

    /** The agents that this entry keeps links to: bounded, balanced and stable over small changes of the fleet. */
    public val linkedAgents: StateFlow<PersistentList<InstanceRecord>>
}
