package toucanrelay.store.bundle

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import toucanrelay.store.json.CanonicalJson

/**
 * A bundle as it stands in its JSON document, without version and signature.
 *
 * Everything is keyed by name, so that a merge patch between two versions states only what changed.
 *
 * @property weights how tokens and calls become service units.
 * @property organisations the organisations by name.
 * @property targets the targets by name.
 * @property services the plain services by name.
 * @property failureDomains the failure domains by name.
 */
@Serializable
public data class BundleDocument(
    public val weights: WeightsDocument = WeightsDocument(),
    public val organisations: Map<String, OrganisationDocument> = emptyMap(),
    public val targets: Map<String, TargetDocument> = emptyMap(),
    public val services: Map<String, ServiceDocument> = emptyMap(),
    public val failureDomains: Map<String, FailureDomainDocument> = emptyMap(),
) {
    /** The document as JSON, every value stated. */
    public fun toJson(): JsonObject = json.encodeToJsonElement(serializer(), this).jsonObject

    /** The canonical form, which is signed. */
    public fun toCanonical(): CanonicalJson = CanonicalJson.of(toJson())

    private companion object {
        val json =
            Json {
                encodeDefaults = true
                explicitNulls = false
            }
    }
}

/**
 * How tokens and calls become service units.
 *
 * @property promptToken service units for one prompt token.
 * @property generatedToken service units for one generated token.
 * @property serviceCall service units for one call of a plain service.
 */
@Serializable
public data class WeightsDocument(
    public val promptToken: Double = 0.1,
    public val generatedToken: Double = 1.0,
    public val serviceCall: Double = 50.0,
)

/**
 * What one organisation may use.
 *
 * @property share its part of the fleet relative to the other organisations.
 * @property limits what it may hold at one time at one entry.
 * @property keyDigests SHA-256 digests of its bearer keys, lower-case hexadecimal.
 * @property pools the pools it may use; null for all.
 */
@Serializable
public data class OrganisationDocument(
    public val share: Double,
    public val keyDigests: List<String>,
    public val limits: LimitsDocument = LimitsDocument(),
    public val pools: List<String>? = null,
)

/**
 * What an organisation may hold at one entry.
 *
 * @property waitingRequests requests that wait for a target.
 * @property inFlightRequests requests that run on a target.
 * @property bodyBytes size of one request's body.
 */
@Serializable
public data class LimitsDocument(
    public val waitingRequests: Int = 1_000,
    public val inFlightRequests: Int = 1_000,
    public val bodyBytes: Long = 1_048_576,
)

/**
 * How much one target bears and what it serves.
 *
 * @property region where the target runs.
 * @property failureDomain the failure domain it falls with.
 * @property pools what it serves: `model`, `model+adapter` or `service:name`.
 * @property slots requests it bears at once when warm.
 * @property coldSlots requests it bears at once when freshly started.
 * @property checksFencing whether the engine refuses an order with an old fencing number.
 */
@Serializable
public data class TargetDocument(
    public val region: String,
    public val failureDomain: String,
    public val pools: List<String>,
    public val slots: Int,
    public val coldSlots: Int,
    public val checksFencing: Boolean = false,
)

/**
 * Which calls of a plain service may be repeated.
 *
 * @property idempotentMethods HTTP methods that may be sent more than once.
 * @property idempotentPaths path prefixes whose calls may be sent more than once, whatever the method.
 */
@Serializable
public data class ServiceDocument(
    public val idempotentMethods: List<String> = listOf("GET", "HEAD", "OPTIONS"),
    public val idempotentPaths: List<String> = emptyList(),
)

/**
 * The state of a failure domain.
 *
 * @property region the region it lies in.
 * @property inService whether new work may start there.
 */
@Serializable
public data class FailureDomainDocument(
    public val region: String,
    public val inService: Boolean = true,
)
