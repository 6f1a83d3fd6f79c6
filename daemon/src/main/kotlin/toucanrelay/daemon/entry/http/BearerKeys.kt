package toucanrelay.daemon.entry.http

import toucanrelay.core.bundle.Bundle
import toucanrelay.core.identity.OrganisationId
import java.security.MessageDigest

/** Finds organisations by the SHA-256 digest of their bearer keys. */
internal class BearerKeys {
    @Volatile
    private var index = KeyIndex(null, emptyMap())

    /** Returns the organisation whose key is in the header value [authorization]; null when there is none. */
    fun organisationOf(bundle: Bundle, authorization: String?): OrganisationId? {
        val key = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
        return if (key.isNullOrEmpty()) null else indexOf(bundle).organisations[sha256(key.toByteArray())]
    }

    private fun indexOf(bundle: Bundle): KeyIndex {
        val cached = index
        if (cached.bundle === bundle) return cached
        val organisations =
            bundle.organisations
                .flatMap { (organisation, settings) ->
                    settings.keyDigests.map { it to organisation }
                }.toMap()
        return KeyIndex(bundle, organisations).also { index = it }
    }

    private class KeyIndex(
        val bundle: Bundle?,
        val organisations: Map<String, OrganisationId>,
    )

    private companion object {
        const val SCHEME = "Bearer "
    }
}

/** Returns the SHA-256 of [bytes] in lower-case hexadecimal. */
internal fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
