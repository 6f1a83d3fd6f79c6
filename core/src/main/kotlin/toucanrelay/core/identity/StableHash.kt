package toucanrelay.core.identity

/**
 * A 64-bit hash that is the same in every process and version, so that nodes make the same choice independently.
 *
 * FNV-1a (Fowler, Noll and Vo) over the characters, finalised by the mixer of SplitMix64 (Steele, Lea and Flood, 2014).
 */
public object StableHash {
    private const val FNV_OFFSET_BASIS = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val GOLDEN_GAMMA = -7046029254386353131L
    private const val FIRST_MULTIPLIER = -4658895280553007687L
    private const val SECOND_MULTIPLIER = -7723592293110705685L
    private const val BITS_BEYOND_DOUBLE_PRECISION = 11
    private const val DOUBLE_UNIT = 1.0 / (1L shl 53)

    /** Hashes [text]. */
    public fun of(text: String): Long =
        mix(text.fold(FNV_OFFSET_BASIS) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME })

    /** Combines two hashes; the order matters. */
    public fun combine(first: Long, second: Long): Long = mix(first * GOLDEN_GAMMA + second)

    /** Maps [hash] to a number between zero and one, both exclusive. */
    public fun toUnit(hash: Long): Double = ((hash ushr BITS_BEYOND_DOUBLE_PRECISION) + 0.5) * DOUBLE_UNIT

    private fun mix(value: Long): Long {
        var mixed = value + GOLDEN_GAMMA
        mixed = (mixed xor (mixed ushr 30)) * FIRST_MULTIPLIER
        mixed = (mixed xor (mixed ushr 27)) * SECOND_MULTIPLIER
        return mixed xor (mixed ushr 31)
    }
}
