package toucanrelay.core.placement

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList

/** A part of a prompt that other prompts can share. */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)

/**
 * The work that a model call causes at an engine.
 *
 * @property hintedOutputTokens the caller's rough estimate of the output length; null when it gives none.
 * @property expectedOutputTokens output length estimated from earlier requests.
 * @property parts the prompt's parts in order; the last one is specific to the request or its session.
 */
public data class PromptProfile(
    public val model: String?,
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    public val hintedOutputTokens: Int?,
    public val expectedOutputTokens: Int,
    public val parts: ImmutableList<PromptPart>,
) {
    /** The parts that other requests may share with this one. */
    public val sharedParts: ImmutableList<PromptPart> = parts.dropLast(1).toPersistentList()

    /** Identifies prompts that should go to the same engines: the id of the last shared part, else of the only part. */
    public val affinityKey: String?
        get() = (sharedParts.lastOrNull() ?: parts.lastOrNull())?.id

    /** Tokens charged to the organisation: prompt tokens count once and generated tokens twice. */
    public val chargedTokens: Long
        get() = promptTokens + OUTPUT_TOKEN_WEIGHT * expectedOutputTokens

    /** Engine memory that the request occupies at its end, in tokens. */
    public val memoryTokens: Long
        get() = promptTokens.toLong() + expectedOutputTokens

    /** The input for the estimate of the output length: the caller's hint, else its maximum. */
    public val outputHint: Int
        get() = hintedOutputTokens ?: maxOutputTokens

    private companion object {
        const val OUTPUT_TOKEN_WEIGHT = 2L
    }
}
