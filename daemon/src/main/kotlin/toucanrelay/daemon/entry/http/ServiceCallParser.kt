package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.http.HttpServerRequest
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.ServiceSettings
import toucanrelay.core.identity.Pool
import toucanrelay.core.refusal.RefusalReason

/**
 * A call to a plain service.
 *
 * @property service the service.
 * @property method HTTP method.
 * @property path path and query relative to the service.
 * @property idempotencyKey value of the header `Idempotency-Key`; null without one.
 */
internal data class ServiceCallDescription(
    val service: String,
    val method: String,
    val path: String,
    val idempotencyKey: String?,
) {
    val pool: Pool
        get() = Pool.ofService(service)

    /** Returns whether [bundle] allows the call to be sent more than once. */
    fun isIdempotent(bundle: Bundle): Boolean =
        (bundle.services[service] ?: DEFAULT_SETTINGS).isIdempotent(method, path)

    private companion object {
        val DEFAULT_SETTINGS = ServiceSettings(persistentSetOf("GET", "HEAD", "OPTIONS"), persistentSetOf())
    }
}

/** Parses the service, path and idempotency key of a service call. */
internal object ServiceCallParser {
    private val URI = Regex("/services/([A-Za-z0-9._-]+)(/[^?#]*)?(\\?[^#]*)?")
    private val DOT_SEGMENT = Regex("/(\\.|%2[eE]){1,2}(/|;|%2[fF]|$)")
    private val IDEMPOTENCY_KEY = Regex("[\\x21-\\x7e]{1,255}")

    fun parse(request: HttpServerRequest): Result<ServiceCallDescription, Refusal> {
        val match = URI.matchEntire(request.uri()) ?: return malformed("The path is not /services/{service}/….")
        val (service, path, query) = match.destructured
        val key = request.getHeader("Idempotency-Key")?.trim()
        return when {
            DOT_SEGMENT.containsMatchIn(path) -> {
                malformed("The path has a segment \".\" or \"..\".")
            }

            key != null && !IDEMPOTENCY_KEY.matches(key) -> {
                malformed("The header Idempotency-Key must have 1 to 255 printable characters.")
            }

            else -> {
                Ok(ServiceCallDescription(service, request.method().name(), path.ifEmpty { "/" } + query, key))
            }
        }
    }

    private fun malformed(detail: String): Result<Nothing, Refusal> =
        Err(Refusal(RefusalReason.MALFORMED_REQUEST, detail))
}
