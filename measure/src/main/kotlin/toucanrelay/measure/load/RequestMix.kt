package toucanrelay.measure.load

import kotlin.random.Random

/**
 * One kind of request in a mix.
 *
 * @property weight how often it comes relative to the other kinds.
 * @property promptTokens size of its prompt.
 * @property answerTokens true size of its answer.
 * @property hintFactors by what the hint differs from the true size.
 * @property prompts different prompts that it draws from; prompts with the same leading part share a cached prefix.
 */
public data class RequestKind(
    public val weight: Double = 1.0,
    public val promptTokens: IntRange = 20..60,
    public val answerTokens: IntRange = 20..60,
    public val hintFactors: ClosedRange<Double> = 1.0..1.0,
    public val prompts: Int = 1_000_000,
)

/**
 * The requests of one organisation.
 *
 * @property model model that is asked for, with `+adapter` when there is one.
 * @property kinds kinds of request.
 */
public data class RequestMix(
    public val model: String,
    public val kinds: List<RequestKind>,
) {
    init {
        require(kinds.isNotEmpty()) { "a mix needs a kind of request" }
    }

    /** Draws the next request. */
    public fun draw(random: Random): PlannedRequest {
        val kind = drawKind(random)
        val answerTokens = random.nextInt(kind.answerTokens.first, kind.answerTokens.last + 1)
        val factor =
            random.nextDouble() * (kind.hintFactors.endInclusive - kind.hintFactors.start) + kind.hintFactors.start
        return PlannedRequest(
            model = model,
            prompt =
                prompt(
                    random.nextInt(kind.prompts),
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
        "prompt $number ".padEnd(tokens * CHARACTERS_IN_A_TOKEN, 'x').take(tokens * CHARACTERS_IN_A_TOKEN)

    private companion object {
        private const val CHARACTERS_IN_A_TOKEN = 4
    }
}

/**
 * A request before it is sent.
 *
 * @property model model that is asked for.
 * @property prompt the user's message.
 * @property answerTokens true size of the answer.
 * @property hintTokens size that the caller states.
 */
public data class PlannedRequest(
    public val model: String,
    public val prompt: String,
    public val answerTokens: Int,
    public val hintTokens: Int,
) {
    /** The body of `POST /v1/chat/completions`, streamed. */
    public fun toBody(): String =
        """{"model":"$model","messages":[{"role":"user","content":"$prompt"}],"max_tokens":$hintTokens,""" +
            """"stop_after":$answerTokens,"stream":true}"""
}
