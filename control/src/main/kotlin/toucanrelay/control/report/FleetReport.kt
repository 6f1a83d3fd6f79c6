package toucanrelay.control.report

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** State of a process of the fleet, from the platform's instance list and from the process itself. */
@Serializable
internal data class ProcessState(
    val instanceId: String,
    val role: String,
    val listed: String,
    val region: String,
    val failureDomain: String,
    val targetId: String? = null,
    val link: String? = null,
    val answer: ProcessAnswer,
    val ready: Boolean? = null,
    val bundleVersion: Long? = null,
)

/** Whether a process responded on its operators' port. */
@Serializable
internal enum class ProcessAnswer {
    /** The process responded. */
    ANSWERED,

    /** The process did not respond. */
    SILENT,

    /** The process was not queried because its operators' port is unknown. */
    NOT_ASKED,
}

/** Processes of the fleet and the bundle version in force. */
@Serializable
internal data class FleetReport(
    val bundleVersion: Long? = null,
    val processes: List<ProcessState>,
) : Report {
    override fun toLines(): List<String> {
        val header = listOf("INSTANCE", "ROLE", "LISTED", "REGION", "FAILURE DOMAIN", "TARGET", "READY", "BUNDLE")
        val rows = processes.sortedBy { it.instanceId }.map { row(it) }
        val version = bundleVersion?.let { "bundle version $it in force" } ?: "no bundle in force"
        return listOf("$version, ${processes.size} processes") + Table(header, rows).lines()
    }

    override fun toJson(): JsonElement = Json.encodeToJsonElement(serializer(), this)

    private fun row(process: ProcessState): List<String> =
        listOf(
            process.instanceId,
            process.role,
            process.listed,
            process.region,
            process.failureDomain,
            process.targetId ?: "-",
            readiness(process),
            process.bundleVersion?.toString() ?: "-",
        )

    private fun readiness(process: ProcessState): String =
        when (process.answer) {
            ProcessAnswer.ANSWERED -> if (process.ready == true) "yes" else "no"
            ProcessAnswer.SILENT -> "no answer"
            ProcessAnswer.NOT_ASKED -> "not asked"
        }
}
