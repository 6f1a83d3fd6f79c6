package toucanrelay.core.shutdown

/**
 * Recent times from sending requests of one kind to their complete answers.
 *
 * @property longestMilliseconds the longest one.
 * @property meanMilliseconds their mean, in which newer ones count more.
 */
public data class AnswerTimes(
    public val longestMilliseconds: Long,
    public val meanMilliseconds: Double,
)
