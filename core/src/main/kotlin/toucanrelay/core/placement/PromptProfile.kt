package toucanrelay.core.placement

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList

/** A part of a prompt that other prompts may share. */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)

/**
 * What a model call asks of an engine.
 *
 * @property hintedOutputTokens the caller's rough estimate of the output; null when it gives none.
 * @property expectedOutputTokens what the request will probably generate, as far as the system has learned.
 * @property parts the prompt's parts in order; the last one belongs to the request itself or to its session.
 */
public data class PromptProfile(
    public val model: String?,
    public val promptTokens: Int,
    public val maximumOutputTokens: Int,
    public val hintedOutputTokens: Int?,
    public val expectedOutputTokens: Int,
    public val parts: ImmutableList<PromptPart>,
) {
    /** The parts that other requests may have in common with this one. */
    public val sharedParts: ImmutableList<PromptPart>
        get() = parts.dropLast(1).toPersistentList()

    /** Names what the prompt is about: its last shared part, else its only part. */
    public val subject: String?
        get() = (sharedParts.lastOrNull() ?: parts.lastOrNull())?.id

    /** Cost to an organisation's share: prompt tokens count once and generated tokens twice. */
    public val chargedTokens: Long
        get() = promptTokens + OUTPUT_TOKEN_WEIGHT * expectedOutputTokens

    /** Engine memory that the request holds at its end. */
    public val memoryTokens: Long
        get() = promptTokens.toLong() + expectedOutputTokens

    /** The number from which the output is estimated: the caller's hint, else the most that it allows. */
    public val outputHint: Int
        get() = hintedOutputTokens ?: maximumOutputTokens

    private companion object {
        const val OUTPUT_TOKEN_WEIGHT = 2L
    }
}
