package toucanrelay.daemon.fleet

import com.github.michaelbull.result.onSuccess
import io.grpc.BindableService
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import toucanrelay.daemon.shell.DaemonFoundation
import toucanrelay.daemon.shell.FleetParts
import toucanrelay.platform.bundle.BundleStore
import toucanrelay.platform.instances.InstanceRecord
import toucanrelay.platform.instances.InstanceRole

/**
 * Fleet parts that read the platform only: each process polls bundle and list, and charges stay where they are made.
 *
 * Fit for a handful of processes.
 */
internal class StoreFleet(
    private val foundation: DaemonFoundation,
) : FleetParts {
    private val register = StoreBundleRegister(foundation.verifier)
    private val store = BundleStore(foundation.platform)
    private val known = MutableStateFlow(persistentListOf<InstanceRecord>())
    private val linked = MutableStateFlow(persistentListOf<InstanceRecord>())

    override val bundles: BundleRegister = register
    override val bundleExchange: BundleExchange = register
    override val directory: FleetDirectory =
        object : FleetDirectory {
            override val instances = known
            override val linkedAgents = linked
        }
    override val ledger: ServiceLedger = LocalLedger(register)
    override val services: PersistentList<BindableService> = persistentListOf()

    override suspend fun start() {
        foundation.scope.launch {
            while (true) {
                poll()
                delay(POLL_MILLISECONDS)
            }
        }
    }

    override suspend fun close() = Unit

    private suspend fun poll() {
        store.read().onSuccess { signed -> signed?.let { register.offer(it) } }
        foundation.platform.list().onSuccess { listed ->
            known.value = listed
            linked.value = listed.filter { it.role == InstanceRole.AGENT }.toPersistentList()
        }
    }

    private companion object {
        const val POLL_MILLISECONDS = 500L
    }
}
