package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import toucanrelay.core.json.MAX_JSON_NESTING_LEVELS
import toucanrelay.core.json.isJsonNestedDeeperThan
import toucanrelay.store.json.JsonObjectReader
import toucanrelay.store.json.JsonProblems
import toucanrelay.store.json.NumberRule
import toucanrelay.store.json.StringRule

/** Parses and validates bundle documents; reports all problems of a document at once. */
public object BundleReader {
    /** Parses and validates the JSON text of a document. */
    public fun parse(text: String): Result<BundleDocument, BundleError> = parseObject(text).andThen { read(it) }

    /** Validates and converts a parsed document. */
    public fun read(source: JsonObject): Result<BundleDocument, BundleError> {
        val problems = JsonProblems()
        val root = JsonObjectReader("", source, problems)
        val document = readDocument(root)
        root.reportUnknownKeys()
        if (problems.all.isEmpty()) BundleRules.check(document, problems)
        if (problems.all.isEmpty()) return Ok(document)
        return Err(BundleError.Invalid(problems.all.toPersistentList()))
    }

    internal fun parseObject(text: String): Result<JsonObject, BundleError> {
        if (isJsonNestedDeeperThan(text)) {
            return Err(BundleError.Malformed("nested deeper than $MAX_JSON_NESTING_LEVELS levels"))
        }
        return try {
            val element = Json.parseToJsonElement(text)
            (element as? JsonObject)?.let { Ok(it) } ?: Err(BundleError.Malformed("not a JSON object"))
        } catch (malformed: SerializationException) {
            Err(BundleError.Malformed("not JSON: ${malformed.message?.lineSequence()?.first()}"))
        }
    }

    private fun readDocument(root: JsonObjectReader): BundleDocument =
        BundleDocument(
            weights = root.objectAt("weights") { readWeights(it) } ?: WeightsDocument(),
            organisations = root.objectsByName("organisations", BundleStringRules.name) { readOrganisation(it) },
            targets = root.objectsByName("targets", BundleStringRules.name) { readTarget(it) },
            services = root.objectsByName("services", BundleStringRules.name) { readService(it) },
            failureDomains = root.objectsByName("failureDomains", BundleStringRules.name) { readFailureDomain(it) },
        )

    private fun readWeights(source: JsonObjectReader): WeightsDocument {
        val default = WeightsDocument()
        return WeightsDocument(
            promptToken = source.number("promptToken", atLeastZero, default.promptToken),
            generatedToken = source.number("generatedToken", positive, default.generatedToken),
            serviceCall = source.number("serviceCall", positive, default.serviceCall),
        )
    }

    private fun readOrganisation(source: JsonObjectReader): OrganisationDocument =
        OrganisationDocument(
            share = source.number("share", positive),
            keyDigests = source.strings("keyDigests", BundleStringRules.keyDigest, isRequired = true).orEmpty(),
            limits = source.objectAt("limits") { readLimits(it) } ?: LimitsDocument(),
            pools = source.strings("pools", BundleStringRules.pool, isRequired = false),
        )

    private fun readLimits(source: JsonObjectReader): LimitsDocument {
        val default = LimitsDocument()
        return LimitsDocument(
            waitingRequests = source.integer("waitingRequests", counts, default.waitingRequests.toLong()).toInt(),
            inFlightRequests = source.integer("inFlightRequests", counts, default.inFlightRequests.toLong()).toInt(),
            bodyBytes = source.integer("bodyBytes", bodySizes, default.bodyBytes),
        )
    }

    private fun readTarget(source: JsonObjectReader): TargetDocument =
        TargetDocument(
            region = source.string("region", BundleStringRules.name),
            failureDomain = source.string("failureDomain", BundleStringRules.name),
            pools = source.strings("pools", BundleStringRules.pool, isRequired = true).orEmpty(),
            slots = source.integer("slots", counts).toInt(),
            coldSlots = source.integer("coldSlots", counts).toInt(),
            checksFencing = source.boolean("checksFencing", default = false),
        )

    private fun readService(source: JsonObjectReader): ServiceDocument {
        val default = ServiceDocument()
        val methods = source.strings("idempotentMethods", BundleStringRules.method, isRequired = false)
        val paths = source.strings("idempotentPaths", BundleStringRules.path, isRequired = false)
        return ServiceDocument(methods ?: default.idempotentMethods, paths ?: default.idempotentPaths)
    }

    private fun readFailureDomain(source: JsonObjectReader): FailureDomainDocument =
        FailureDomainDocument(
            region = source.string("region", BundleStringRules.name),
            inService = source.boolean("inService", default = true),
        )

    private val positive = NumberRule("greater than 0") { it > 0 }
    private val atLeastZero = NumberRule("0 or greater") { it >= 0 }
    private val counts = 1L..1_000_000L
    private val bodySizes = 1L..16_777_216L
}

/** Rules for the strings in a bundle document. */
internal object BundleStringRules {
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    private val poolPattern = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}(\\+[A-Za-z0-9][A-Za-z0-9._-]{0,127})?")
    private val digestPattern = Regex("[0-9a-f]{64}")
    private val methodPattern = Regex("[A-Z]{1,16}")

    val name = StringRule("1 to 64 letters, digits, dots, underscores and hyphens") { namePattern.matches(it) }
    val pool = StringRule("model, model+adapter or service:name") { poolPattern.matches(it) }
    val keyDigest = StringRule("a SHA-256 digest as 64 lower-case hexadecimal digits") { digestPattern.matches(it) }
    val method = StringRule("an HTTP method in capital letters") { methodPattern.matches(it) }
    val path = StringRule("a path that starts with /") { it.startsWith("/") }
}
