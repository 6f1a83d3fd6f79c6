package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.kohsuke.args4j.Argument
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.ProcessAddress
import toucanrelay.control.ProcessStatus
import toucanrelay.control.report.FleetReport
import toucanrelay.control.report.ProcessAnswer
import toucanrelay.control.report.ProcessState
import toucanrelay.control.report.Report
import toucanrelay.control.toControlError
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.instances.InstanceRecord

/** Shows the processes in the platform's instance list and those whose operators' ports are given as arguments. */
internal class FleetStatus : PlatformCommand() {
    @Argument(metaVar = "HOST:PORT", usage = "operators' ports of processes to query", multiValued = true)
    private var addresses: MutableList<String> = mutableListOf()

    private val queryPermits = Semaphore(MAX_CONCURRENT_QUERIES)

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val url = platformUrl().getOrElse { return Err(it) }
        val givenAddresses = addresses.map { text -> ProcessAddress.parse(text).getOrElse { return Err(it) } }
        val platform = connections.platform(url)
        val currentBundle = BundleStore(platform).read().getOrElse { return Err(it.toControlError()) }
        return platform
            .list()
            .mapError { ControlError.Unreachable(it.detail) }
            .map { listed ->
                FleetReport(currentBundle?.version?.value, processStates(connections, listed, givenAddresses))
            }
    }

    private suspend fun processStates(
        connections: Connections,
        listed: List<InstanceRecord>,
        givenAddresses: List<ProcessAddress>,
    ): List<ProcessState> =
        coroutineScope {
            val results = givenAddresses.map { async { QueryResult(it, queryStatus(connections, it)) } }.awaitAll()
            val byInstance = results.mapNotNull { it.status }.associateBy { it.instanceId }
            val listedStates =
                listed.map { async { listedState(connections, it, byInstance[it.instance.value]) } }.awaitAll()
            val listedIds = listed.mapTo(mutableSetOf()) { it.instance.value }
            val unlisted = byInstance.values.filter { it.instanceId !in listedIds }.map { unlistedState(it) }
            val unresponsive = results.filter { it.status == null }.map { unresponsiveState(it.address) }
            listedStates + unlisted + unresponsive
        }

    private suspend fun queryStatus(connections: Connections, address: ProcessAddress): ProcessStatus? =
        queryPermits.withPermit { connections.processClient.status(address) }

    private suspend fun listedState(
        connections: Connections,
        record: InstanceRecord,
        knownStatus: ProcessStatus?,
    ): ProcessState {
        val port = record.operatorsPort
        val status = knownStatus ?: port?.let { queryStatus(connections, ProcessAddress(record.host, it)) }
        val isQueried = knownStatus != null || port != null
        return ProcessState(
            instanceId = record.instance.value,
            role = record.role.name.lowercase(),
            listed = record.state.name.lowercase(),
            region = record.region.value,
            failureDomain = record.failureDomain.value,
            targetId = record.target?.value,
            link = "${record.host}:${record.port}",
            answer = processAnswer(status, isQueried),
            ready = status?.ready,
            bundleVersion = status?.bundleVersion,
        )
    }

    private fun processAnswer(status: ProcessStatus?, isQueried: Boolean): ProcessAnswer =
        when {
            status != null -> ProcessAnswer.ANSWERED
            isQueried -> ProcessAnswer.SILENT
            else -> ProcessAnswer.NOT_ASKED
        }

    private fun unlistedState(status: ProcessStatus): ProcessState =
        ProcessState(
            instanceId = status.instanceId,
            role = status.role,
            listed = "no",
            region = status.region,
            failureDomain = status.failureDomain,
            targetId = status.targetId,
            answer = ProcessAnswer.ANSWERED,
            ready = status.ready,
            bundleVersion = status.bundleVersion,
        )

    private fun unresponsiveState(address: ProcessAddress): ProcessState =
        ProcessState(
            instanceId = address.toString(),
            role = "-",
            listed = "-",
            region = "-",
            failureDomain = "-",
            answer = ProcessAnswer.SILENT,
        )

    private class QueryResult(
        val address: ProcessAddress,
        val status: ProcessStatus?,
    )

    private companion object {
        const val MAX_CONCURRENT_QUERIES = 64
    }
}
