package toucanrelay.store.bundle

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import toucanrelay.store.json.CanonicalJson

/**
 * The JSON document of a bundle, without version and signature.
 *
 * Entries are keyed by name, so that a merge patch between two versions contains only the changes.
 *
 * @property weights conversion of tokens and calls to service units.
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
    /** Returns the document as JSON, with default values included. */
    public fun toJson(): JsonObject = json.encodeToJsonElement(serializer(), this).jsonObject

    /** Returns the canonical form of the document. */
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
 * Conversion of tokens and calls to service units.
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
 * Share, limits and credentials of one organisation.
 *
 * @property share share of the fleet's capacity relative to the other organisations.
 * @property limits limits that apply at each entry.
 * @property keyDigests SHA-256 digests of its bearer keys in lower-case hexadecimal.
 * @property pools pools that it may use; null for all.
 */
@Serializable
public data class OrganisationDocument(
    public val share: Double,
    public val keyDigests: List<String>,
    public val limits: LimitsDocument = LimitsDocument(),
    public val pools: List<String>? = null,
)

/**
 * Limits of one organisation at one entry.
 *
 * @property waitingRequests maximum number of requests waiting for a target.
 * @property inFlightRequests maximum number of requests running on targets.
 * @property bodyBytes maximum size of a request body in bytes.
 */
@Serializable
public data class LimitsDocument(
    public val waitingRequests: Int = 1_000,
    public val inFlightRequests: Int = 1_000,
    public val bodyBytes: Long = 1_048_576,
)

/**
 * Location, pools and capacity of one target.
 *
 * @property region the region in which the target runs.
 * @property failureDomain the failure domain to which the target belongs.
 * @property pools pools that it serves: `model`, `model+adapter` or `service:name`.
 * @property slots maximum number of concurrent requests when warm.
 * @property coldSlots maximum number of concurrent requests just after a start.
 * @property checksFencing whether the engine rejects an order with an outdated fencing number.
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
 * Rules for which calls of a plain service may be retried.
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
 * Region and state of a failure domain.
 *
 * @property region the region that contains the failure domain.
 * @property inService whether new work may start there.
 */
@Serializable
public data class FailureDomainDocument(
    public val region: String,
    public val inService: Boolean = true,
)
