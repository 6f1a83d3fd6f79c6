package toucanrelay.daemon.fleet

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import org.tinylog.kotlin.Logger
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.linking.LinkPlanner
import toucanrelay.core.linking.LinkableAgent
import toucanrelay.core.membership.LeavingInstances
import toucanrelay.core.time.Clock
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState

/** The platform's instance list, the leaving instances that other entries reported, and the links planned from both. */
internal class InstanceDirectory(
    private val own: InstanceId,
    private val list: InstanceList,
    private val planner: LinkPlanner,
    clock: Clock,
    meters: MeterRegistry,
) : FleetDirectory {
    private val lock = Any()
    private val leavingInstances = LeavingInstances(clock)
    private val knownInstances = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    private val linked = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    private val isListRead = MutableStateFlow(false)
    private val leavingIds = MutableStateFlow<Set<InstanceId>>(emptySet())
    private val reads = meters.counter("toucanrelay.fleet.list.reads", "outcome", "read")
    private val failures = meters.counter("toucanrelay.fleet.list.reads", "outcome", "failed")
    private var listed: PersistentList<InstanceRecord> = persistentListOf()
    private var bundle: Bundle? = null
    private var plannedEntries: List<EntryLocation> = emptyList()
    private var plannedAgents: List<LinkableAgent> = emptyList()
    private var chosenAgents: Set<InstanceId> = emptySet()

    init {
        meters.gauge("toucanrelay.fleet.instances", knownInstances) { it.value.size.toDouble() }
        meters.gauge("toucanrelay.fleet.linked.agents", linked) { it.value.size.toDouble() }
    }

    override val instances: StateFlow<PersistentList<InstanceRecord>> = knownInstances.asStateFlow()

    override val linkedAgents: StateFlow<PersistentList<InstanceRecord>> = linked.asStateFlow()

    /** Whether the list has been read since the start. */
    val listRead: StateFlow<Boolean> = isListRead.asStateFlow()

    /** The instances that are leaving according to the list or another entry. */
    val leaving: StateFlow<Set<InstanceId>> = leavingIds.asStateFlow()

    /** Returns the listed entries, including those that are leaving. */
    fun entries(): List<InstanceRecord> = knownInstances.value.filter { it.role == InstanceRole.ENTRY }

    /** Reads the platform's list once; when that fails, the previous list remains in use. */
    suspend fun refresh() {
        list
            .list()
            .onSuccess {
                reads.increment()
                applyList(it)
                isListRead.value = true
            }.onFailure {
                failures.increment()
                Logger.debug { "fleet: could not read the instance list: ${it.detail}" }
            }
    }

    /** Marks [instances] as leaving, as reported by another entry. */
    fun addLeaving(instances: Collection<InstanceId>) {
        synchronized(lock) {
            if (leavingInstances.addLeaving(instances).isNotEmpty()) publish()
        }
    }

    /** Plans links again for [bundle]; null has no effect. */
    fun applyBundle(bundle: Bundle?) {
        synchronized(lock) {
            if (bundle == null) return
            this.bundle = bundle
            publish()
        }
    }

    private fun applyList(records: PersistentList<InstanceRecord>) {
        synchronized(lock) {
            val (leaving, live) = records.partition { it.state == InstanceState.LEAVING }
            val leavingBefore = leavingInstances.leaving
            leavingInstances.applyList(live.ids(), leaving.ids())
            val isChanged = listed != records || leavingInstances.leaving != leavingBefore
            listed = records
            if (isChanged) publish()
        }
    }

    private fun publish() {
        val leaving = leavingInstances.leaving
        val corrected =
            listed
                .map { if (it.instance in leaving) it.copy(state = InstanceState.LEAVING) else it }
                .toPersistentList()
        knownInstances.value = corrected
        leavingIds.value = leaving
        linked.update { plan(corrected) }
    }

    private fun plan(records: List<InstanceRecord>): PersistentList<InstanceRecord> {
        val entries = records.filter { it.role == InstanceRole.ENTRY }.map { it.location() }
        val agents = records.mapNotNull { it.toLinkableAgent() }
        val chosen = planIfChanged(entries, agents)
        return records.filter { it.instance in chosen }.toPersistentList()
    }

    // Most bundle versions and many lists do not change what links depend on; the previous plan then remains in use.
    private fun planIfChanged(entries: List<EntryLocation>, agents: List<LinkableAgent>): Set<InstanceId> {
        if (entries != plannedEntries || agents != plannedAgents) {
            plannedEntries = entries
            plannedAgents = agents
            chosenAgents = planner.plan(entries, agents).agentsOf(own).toSet()
        }
        return chosenAgents
    }

    private fun InstanceRecord.toLinkableAgent(): LinkableAgent? {
        val settings = target?.let { bundle?.targets?.get(it) } ?: return null
        return if (role == InstanceRole.AGENT) LinkableAgent(instance, region, failureDomain, settings.pools) else null
    }

    private fun List<InstanceRecord>.ids(): Set<InstanceId> = mapTo(HashSet()) { it.instance }
}

internal fun InstanceRecord.location(): EntryLocation = EntryLocation(instance, region, failureDomain)
