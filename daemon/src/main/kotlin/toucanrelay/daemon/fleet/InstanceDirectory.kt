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
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.linking.LinkPlanner
import toucanrelay.core.linking.LinkableAgent
import toucanrelay.core.membership.LeavingInstances
import toucanrelay.core.time.Clock
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState

/** The instances from the platform's list, with leaving marks that other entries saw, and the links planned from them. */
internal class InstanceDirectory(
    private val own: InstanceId,
    private val list: InstanceList,
    private val planner: LinkPlanner,
    clock: Clock,
    meters: MeterRegistry,
) : FleetDirectory {
    private val lock = Any()
    private val marks = LeavingInstances(clock)
    private val known = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    private val linked = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    private val isListRead = MutableStateFlow(false)
    private val marked = MutableStateFlow<Set<InstanceId>>(emptySet())
    private val reads = meters.counter("toucanrelay.fleet.list.reads", "outcome", "read")
    private val failures = meters.counter("toucanrelay.fleet.list.reads", "outcome", "failed")
    private var listed: PersistentList<InstanceRecord> = persistentListOf()
    private var bundle: Bundle? = null
    private var plannedEntries: List<EntryPlace> = emptyList()
    private var plannedAgents: List<LinkableAgent> = emptyList()
    private var chosenAgents: Set<InstanceId> = emptySet()

    init {
        meters.gauge("toucanrelay.fleet.instances", known) { it.value.size.toDouble() }
        meters.gauge("toucanrelay.fleet.linked.agents", linked) { it.value.size.toDouble() }
    }

    override val instances: StateFlow<PersistentList<InstanceRecord>> = known.asStateFlow()

    override val linkedAgents: StateFlow<PersistentList<InstanceRecord>> = linked.asStateFlow()

    /** Whether a list was read since the start. */
    val listRead: StateFlow<Boolean> = isListRead.asStateFlow()

    /** The instances that leave, as a list or another entry showed it. */
    val leaving: StateFlow<Set<InstanceId>> = marked.asStateFlow()

    /** The entries on the list, those that leave included. */
    fun entries(): List<InstanceRecord> = known.value.filter { it.role == InstanceRole.ENTRY }

    /** Reads the platform's list once; an instance list that cannot be read leaves the known one standing. */
    suspend fun refresh() {
        list
            .list()
            .onSuccess {
                reads.increment()
                takeList(it)
                isListRead.value = true
            }.onFailure {
                failures.increment()
                Logger.debug { "fleet: list of instances not read: ${it.detail}" }
            }
    }

    /** Takes in leaving marks that another entry saw. */
    fun takeNotice(instances: Collection<InstanceId>) {
        synchronized(lock) {
            if (marks.addLeaving(instances).isNotEmpty()) publish()
        }
    }

    /** Plans links anew for [bundle]. */
    fun takeBundle(bundle: Bundle?) {
        synchronized(lock) {
            if (bundle == null) return
            this.bundle = bundle
            publish()
        }
    }

    private fun takeList(records: PersistentList<InstanceRecord>) {
        synchronized(lock) {
            val (leaving, live) = records.partition { it.state == InstanceState.LEAVING }
            val marksBefore = marks.leaving
            marks.applyList(live.ids(), leaving.ids())
            val isChanged = listed != records || marks.leaving != marksBefore
            listed = records
            if (isChanged) publish()
        }
    }

    private fun publish() {
        val leaving = marks.leaving
        val corrected =
            listed
                .map { if (it.instance in leaving) it.copy(state = InstanceState.LEAVING) else it }
                .toPersistentList()
        known.value = corrected
        marked.value = leaving
        linked.update { plan(corrected) }
    }

    private fun plan(records: List<InstanceRecord>): PersistentList<InstanceRecord> {
        val entries = records.filter { it.role == InstanceRole.ENTRY }.map { it.place() }
        val agents = records.mapNotNull { it.linkable() }
        val chosen = planned(entries, agents)
        return records.filter { it.instance in chosen }.toPersistentList()
    }

    // Most versions of the bundle and many lists change nothing that links depend on.
    private fun planned(entries: List<EntryPlace>, agents: List<LinkableAgent>): Set<InstanceId> {
        if (entries != plannedEntries || agents != plannedAgents) {
            plannedEntries = entries
            plannedAgents = agents
            chosenAgents = planner.plan(entries, agents).agentsOf(own).toSet()
        }
        return chosenAgents
    }

    private fun InstanceRecord.linkable(): LinkableAgent? {
        val terms = target?.let { bundle?.targets?.get(it) } ?: return null
        return if (role == InstanceRole.AGENT) LinkableAgent(instance, region, failureDomain, terms.pools) else null
    }

    private fun List<InstanceRecord>.ids(): Set<InstanceId> = mapTo(HashSet()) { it.instance }
}

internal fun InstanceRecord.place(): EntryPlace = EntryPlace(instance, region, failureDomain)
