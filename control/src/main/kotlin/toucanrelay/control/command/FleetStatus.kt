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

/** Shows the processes of the fleet: those on the platform's list, and those whose operators' ports are given. */
internal class FleetStatus : PlatformCommand() {
    @Argument(metaVar = "HOST:PORT", usage = "operators' ports of processes to ask", multiValued = true)
    private var addresses: MutableList<String> = mutableListOf()

    private val asking = Semaphore(PROCESSES_ASKED_AT_ONCE)

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val url = platformUrl().getOrElse { return Err(it) }
        val given = addresses.map { text -> ProcessAddress.parse(text).getOrElse { return Err(it) } }
        val platform = connections.platform(url)
        val standing = BundleStore(platform).read().getOrElse { return Err(it.toControlError()) }
        return platform
            .list()
            .mapError { ControlError.Unreachable(it.detail) }
            .map { listed -> FleetReport(standing?.version?.value, processes(connections, listed, given)) }
    }

    private suspend fun processes(
        connections: Connections,
        listed: List<InstanceRecord>,
        given: List<ProcessAddress>,
    ): List<ProcessState> =
        coroutineScope {
            val answers = given.map { async { Answer(it, ask(connections, it)) } }.awaitAll()
            val byInstance = answers.mapNotNull { it.status }.associateBy { it.instanceId }
            val listedStates =
                listed.map { async { listedState(connections, it, byInstance[it.instance.value]) } }.awaitAll()
            val listedNames = listed.mapTo(mutableSetOf()) { it.instance.value }
            val unlisted = byInstance.values.filter { it.instanceId !in listedNames }.map { unlistedState(it) }
            val silent = answers.filter { it.status == null }.map { silentState(it.address) }
            listedStates + unlisted + silent
        }

    private suspend fun ask(connections: Connections, address: ProcessAddress): ProcessStatus? =
        asking.withPermit { connections.processes.status(address) }

    private suspend fun listedState(
        connections: Connections,
        record: InstanceRecord,
        known: ProcessStatus?,
    ): ProcessState {
        val port = record.operatorsPort
        val status = known ?: port?.let { ask(connections, ProcessAddress(record.host, it)) }
        val isAsked = known != null || port != null
        return ProcessState(
            instanceId = record.instance.value,
            role = record.role.name.lowercase(),
            listed = record.state.name.lowercase(),
            region = record.region.value,
            failureDomain = record.failureDomain.value,
            targetId = record.target?.value,
            link = "${record.host}:${record.port}",
            answer = answerOf(status, isAsked),
            ready = status?.ready,
            bundleVersion = status?.bundleVersion,
        )
    }

    private fun answerOf(status: ProcessStatus?, isAsked: Boolean): ProcessAnswer =
        when {
            status != null -> ProcessAnswer.ANSWERED
            isAsked -> ProcessAnswer.SILENT
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

    private fun silentState(address: ProcessAddress): ProcessState =
        ProcessState(
            instanceId = address.toString(),
            role = "-",
            listed = "-",
            region = "-",
            failureDomain = "-",
            answer = ProcessAnswer.SILENT,
        )

    private class Answer(
        val address: ProcessAddress,
        val status: ProcessStatus?,
    )

    private companion object {
        const val PROCESSES_ASKED_AT_ONCE = 64
    }
}
