package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import toucanrelay.store.json.CheckedObject
import toucanrelay.store.json.JsonProblems
import toucanrelay.store.json.MOST_JSON_NESTING
import toucanrelay.store.json.NumberRule
import toucanrelay.store.json.TextRule
import toucanrelay.store.json.isJsonNestedDeeperThan

/** Reads a bundle document and reports everything in it that is not allowed. */
public object BundleReader {
    /** Reads the JSON text of a document. */
    public fun parse(text: String): Result<BundleDocument, BundleError> = parseObject(text).andThen { read(it) }

    /** Reads a document that is parsed already. */
    public fun read(source: JsonObject): Result<BundleDocument, BundleError> {
        val problems = JsonProblems()
        val root = CheckedObject("", source, problems)
        val document = readDocument(root)
        root.finish()
        if (problems.all.isEmpty()) BundleRules.check(document, problems)
        if (problems.all.isEmpty()) return Ok(document)
        return Err(BundleError.Invalid(problems.all.toPersistentList()))
    }

    internal fun parseObject(text: String): Result<JsonObject, BundleError> {
        if (isJsonNestedDeeperThan(text)) {
            return Err(BundleError.Malformed("nested deeper than $MOST_JSON_NESTING levels"))
        }
        return try {
            val element = Json.parseToJsonElement(text)
            (element as? JsonObject)?.let { Ok(it) } ?: Err(BundleError.Malformed("not a JSON object"))
        } catch (malformed: SerializationException) {
            Err(BundleError.Malformed("not JSON: ${malformed.message?.lineSequence()?.first()}"))
        }
    }

    private fun readDocument(root: CheckedObject): BundleDocument =
        BundleDocument(
            weights = root.objectAt("weights") { readWeights(it) } ?: WeightsDocument(),
            organisations = root.objectsByName("organisations", BundleNames.name) { readOrganisation(it) },
            targets = root.objectsByName("targets", BundleNames.name) { readTarget(it) },
            services = root.objectsByName("services", BundleNames.name) { readService(it) },
            failureDomains = root.objectsByName("failureDomains", BundleNames.name) { readFailureDomain(it) },
        )

    private fun readWeights(source: CheckedObject): WeightsDocument {
        val default = WeightsDocument()
        return WeightsDocument(
            promptToken = source.number("promptToken", atLeastZero, default.promptToken),
            generatedToken = source.number("generatedToken", positive, default.generatedToken),
            serviceCall = source.number("serviceCall", positive, default.serviceCall),
        )
    }

    private fun readOrganisation(source: CheckedObject): OrganisationDocument =
        OrganisationDocument(
            share = source.number("share", positive),
            keyDigests = source.texts("keyDigests", BundleNames.keyDigest, isRequired = true).orEmpty(),
            limits = source.objectAt("limits") { readLimits(it) } ?: LimitsDocument(),
            pools = source.texts("pools", BundleNames.pool, isRequired = false),
        )

    private fun readLimits(source: CheckedObject): LimitsDocument {
        val default = LimitsDocument()
        return LimitsDocument(
            waitingRequests = source.whole("waitingRequests", counts, default.waitingRequests.toLong()).toInt(),
            inFlightRequests = source.whole("inFlightRequests", counts, default.inFlightRequests.toLong()).toInt(),
            bodyBytes = source.whole("bodyBytes", bodySizes, default.bodyBytes),
        )
    }

    private fun readTarget(source: CheckedObject): TargetDocument =
        TargetDocument(
            region = source.text("region", BundleNames.name),
            failureDomain = source.text("failureDomain", BundleNames.name),
            pools = source.texts("pools", BundleNames.pool, isRequired = true).orEmpty(),
            slots = source.whole("slots", counts).toInt(),
            coldSlots = source.whole("coldSlots", counts).toInt(),
            checksFencing = source.flag("checksFencing", default = false),
        )

    private fun readService(source: CheckedObject): ServiceDocument {
        val default = ServiceDocument()
        val methods = source.texts("idempotentMethods", BundleNames.method, isRequired = false)
        val paths = source.texts("idempotentPaths", BundleNames.path, isRequired = false)
        return ServiceDocument(methods ?: default.idempotentMethods, paths ?: default.idempotentPaths)
    }

    private fun readFailureDomain(source: CheckedObject): FailureDomainDocument =
        FailureDomainDocument(
            region = source.text("region", BundleNames.name),
            inService = source.flag("inService", default = true),
        )

    private val positive = NumberRule("greater than 0") { it > 0 }
    private val atLeastZero = NumberRule("0 or greater") { it >= 0 }
    private val counts = 1L..1_000_000L
    private val bodySizes = 1L..16_777_216L
}

/** Which names a bundle may use. */
internal object BundleNames {
    private val nameForm = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    private val poolForm = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}(\\+[A-Za-z0-9][A-Za-z0-9._-]{0,127})?")
    private val digestForm = Regex("[0-9a-f]{64}")
    private val methodForm = Regex("[A-Z]{1,16}")

    val name = TextRule("1 to 64 letters, digits, dots, underscores and hyphens") { nameForm.matches(it) }
    val pool = TextRule("model, model+adapter or service:name") { poolForm.matches(it) }
    val keyDigest = TextRule("a SHA-256 digest as 64 lower-case hexadecimal digits") { digestForm.matches(it) }
    val method = TextRule("an HTTP method in capital letters") { methodForm.matches(it) }
    val path = TextRule("a path that starts with /") { it.startsWith("/") }
}
