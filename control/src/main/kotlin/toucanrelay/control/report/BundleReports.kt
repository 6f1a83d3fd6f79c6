package toucanrelay.control.report

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import toucanrelay.store.bundle.BundleDocument

/** Result of a successful validation: the size of the document. */
@Serializable
internal data class ValidityReport(
    val valid: Boolean,
    val organisations: Int,
    val targets: Int,
    val services: Int,
    val failureDomains: Int,
) : Report {
    override fun toLines(): List<String> =
        listOf(
            "valid: $organisations organisations, $targets targets, $services services, " +
                "$failureDomains failure domains",
        )

    override fun toJson(): JsonElement = Json.encodeToJsonElement(serializer(), this)

    companion object {
        fun of(document: BundleDocument): ValidityReport =
            ValidityReport(
                valid = true,
                organisations = document.organisations.size,
                targets = document.targets.size,
                services = document.services.size,
                failureDomains = document.failureDomains.size,
            )
    }
}

/** Result of a command for one bundle version. */
@Serializable
internal data class VersionReport(
    val version: Long,
    val outcome: VersionOutcome,
    val detail: String,
) : Report {
    override fun toLines(): List<String> = listOf(detail)

    override fun toJson(): JsonElement = Json.encodeToJsonElement(serializer(), this)
}

/** Outcome of a command for a bundle version, as written to the JSON output. */
@Serializable
internal enum class VersionOutcome {
    /** The version was signed. */
    SIGNED,

    /** The version was accepted and comes into force. */
    ACCEPTED,

    /** The requested state was already in force. */
    UNCHANGED,
}

/** State of a failure domain in the bundle in force. */
@Serializable
internal data class FailureDomainState(
    val failureDomain: String,
    val region: String,
    val inService: Boolean,
    val targets: Int,
)

/** Summary of the bundle in force. */
@Serializable
internal data class BundleStatusReport(
    val version: Long,
    val keyId: String,
    val organisations: Int,
    val targets: Int,
    val services: Int,
    val failureDomains: List<FailureDomainState>,
) : Report {
    override fun toLines(): List<String> {
        val rows =
            failureDomains.map {
                listOf(it.failureDomain, it.region, if (it.inService) "in service" else "out", it.targets.toString())
            }
        return listOf(
            "version $version, signed with the key \"$keyId\": " +
                "$organisations organisations, $targets targets, $services services",
        ) + Table(listOf("FAILURE DOMAIN", "REGION", "STATE", "TARGETS"), rows).lines()
    }

    override fun toJson(): JsonElement = Json.encodeToJsonElement(serializer(), this)

    companion object {
        fun of(version: Long, keyId: String, document: BundleDocument): BundleStatusReport =
            BundleStatusReport(
                version = version,
                keyId = keyId,
                organisations = document.organisations.size,
                targets = document.targets.size,
                services = document.services.size,
                failureDomains =
                    document.failureDomains.toSortedMap().map { (name, state) ->
                        val targets = document.targets.values.count { it.failureDomain == name }
                        FailureDomainState(name, state.region, state.inService, targets)
                    },
            )
    }
}

/** Document of the bundle in force, formatted for editing. */
internal class DocumentReport(
    private val document: JsonObject,
) : Report {
    override fun toLines(): List<String> = prettyJson.encodeToString(JsonElement.serializer(), document).lines()

    override fun toJson(): JsonElement = document

    private companion object {
        val prettyJson = Json { prettyPrint = true }
    }
}
