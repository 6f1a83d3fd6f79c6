package toucanrelay.daemon.entry.http

import kotlinx.serialization.json.JsonArray

/** Hashes the beginning of a prompt in the way in which engines name the entries of their prefix cache. */
internal object PrefixHash {
    private const val OFFSET_BASIS = -3750763034362895579L
    private const val PRIME = 1099511628211L

    /** 64-bit FNV-1a of the first message. Source: RFC draft "The FNV non-cryptographic hash algorithm". */
    fun of(messages: JsonArray): Long =
        messages.first().toString().toByteArray().fold(OFFSET_BASIS) { hash, byte ->
            (hash xor (byte.toLong() and 0xff)) * PRIME
        }
}
