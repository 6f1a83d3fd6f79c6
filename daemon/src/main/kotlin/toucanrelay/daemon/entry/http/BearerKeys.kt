package toucanrelay.daemon.entry.http

import toucanrelay.core.bundle.Bundle
import toucanrelay.core.identity.OrganisationId
import java.security.MessageDigest

/** Finds organisations by the SHA-256 digest of their bearer keys. */
internal class BearerKeys {
    @Volatile
    private var index = KeyIndex(null, emptyMap())

    /** The organisation whose key the header [authorization] carries; null when there is none. */
    fun organisationOf(bundle: Bundle, authorization: String?): OrganisationId? {
        val key = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
        return if (key.isNullOrEmpty()) null else indexOf(bundle).organisations[sha256(key.toByteArray())]
    }

    private fun indexOf(bundle: Bundle): KeyIndex {
        val known = index
        if (known.bundle === bundle) return known
        val organisations =
            bundle.organisations
                .flatMap { (organisation, terms) ->
                    terms.keyDigests.map { it to organisation }
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

/** SHA-256 of [bytes] in lower-case hexadecimal. */
internal fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
