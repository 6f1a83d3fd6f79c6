package toucanrelay.measure.load

import kotlin.random.Random

/**
 * One kind of request in a mix.
 *
 * @property weight frequency relative to the other kinds.
 * @property promptTokens range of the prompt size.
 * @property answerTokens range of the actual answer size.
 * @property hintFactors range of the ratio of the size hint to the actual answer size.
 * @property distinctPrompts number of distinct prompts; prompts with the same beginning share a cached prefix.
 */
public data class RequestKind(
    public val weight: Double = 1.0,
    public val promptTokens: IntRange = 20..60,
    public val answerTokens: IntRange = 20..60,
    public val hintFactors: ClosedRange<Double> = 1.0..1.0,
    public val distinctPrompts: Int = 1_000_000,
)

/**
 * The kinds of requests that one organisation sends.
 *
 * @property model requested model, with a `+adapter` suffix if an adapter is requested.
 * @property kinds kinds of request; at least one.
 */
public data class RequestMix(
    public val model: String,
    public val kinds: List<RequestKind>,
) {
    init {
        require(kinds.isNotEmpty()) { "a request mix requires at least one kind of request" }
    }

    /** Draws a request at random. */
    public fun draw(random: Random): PlannedRequest {
        val kind = drawKind(random)
        val answerTokens = random.nextInt(kind.answerTokens.first, kind.answerTokens.last + 1)
        val factor =
            random.nextDouble() * (kind.hintFactors.endInclusive - kind.hintFactors.start) + kind.hintFactors.start
        return PlannedRequest(
            model = model,
            prompt =
                prompt(
                    random.nextInt(kind.distinctPrompts),
                    random.nextInt(
                        kind.promptTokens.first,
                        kind.promptTokens.last + 1,
                    ),
                ),
            answerTokens = answerTokens,
            hintTokens = (answerTokens * factor).toInt().coerceAtLeast(1),
        )
    }

    private fun drawKind(random: Random): RequestKind {
        var remaining = random.nextDouble() * kinds.sumOf { it.weight }
        return kinds.firstOrNull { kind ->
            remaining -= kind.weight
            remaining < 0
        } ?: kinds.last()
    }

    private fun prompt(number: Int, tokens: Int): String =
        "prompt $number ".padEnd(tokens * CHARACTERS_PER_TOKEN, 'x').take(tokens * CHARACTERS_PER_TOKEN)

    private companion object {
        private const val CHARACTERS_PER_TOKEN = 4
    }
}

/**
 * A request to be sent.
 *
 * @property model requested model.
 * @property prompt content of the user message.
 * @property answerTokens actual size of the answer.
 * @property hintTokens answer size that the caller states as `max_tokens`.
 */
public data class PlannedRequest(
    public val model: String,
    public val prompt: String,
    public val answerTokens: Int,
    public val hintTokens: Int,
) {
    /** Returns the body of a `POST /v1/chat/completions` request for a streamed answer. */
    public fun toBody(): String =
        """{"model":"$model","messages":[{"role":"user","content":"$prompt"}],"max_tokens":$hintTokens,""" +
            """"stop_after":$answerTokens,"stream":true}"""
}
