package toucanrelay.measure.quickstart

import toucanrelay.measure.load.OrderLog
import toucanrelay.measure.load.OrganisationMeter
import toucanrelay.measure.load.milliseconds
import java.util.Locale

private const val MEDIAN = 50.0
private const val HIGH_PERCENTILE = 95.0
private const val PERCENT = 100

/**
 * Renders the result of the quickstart's load as text.
 *
 * @param meters measurements of each organisation's callers.
 * @param orders orders sent to plain services, by organisation.
 * @param retries retries by the entries, by reason.
 */
internal class QuickstartReport(
    private val meters: List<OrganisationMeter>,
    private val orders: Map<String, OrderLog>,
    private val retries: Map<String, Long>,
) {
    private val totalShare = meters.sumOf { it.share }
    private val totalUnits = meters.sumOf { it.serviceUnits }.coerceAtLeast(1.0)

    /** Whether every organisation received answers and no request failed other than by a refusal. */
    val isSuccessful: Boolean
        get() = meters.all { it.answers > 0 && it.failuresByReason.keys.all { reason -> reason.startsWith("refused") } }

    fun render(): String =
        buildString {
            appendLine(
                row("organisation", "requests", "answers", "tokens", "deserved", "received", "first token", "at p95"),
            )
            meters.forEach { appendLine(row(it)) }
            meters.forEach { append(failures(it)) }
            orders.forEach { (organisation, log) ->
                append(counts("$organisation, orders:", log.attemptsByOutcome().mapValues { it.value.toLong() }))
            }
            append(counts("retries of the entries:", retries))
        }

    private fun row(meter: OrganisationMeter): String {
        val firstToken = meter.firstTokenMicroseconds()
        return row(
            meter.organisation,
            meter.calls.toString(),
            meter.answers.toString(),
            meter.tokens.toString(),
            percent(meter.share / totalShare),
            percent(meter.serviceUnits / totalUnits),
            milliseconds(firstToken.milliseconds(MEDIAN)),
            milliseconds(firstToken.milliseconds(HIGH_PERCENTILE)),
        )
    }

    private fun failures(meter: OrganisationMeter) =
        counts("${meter.organisation}, refusals and failures:", meter.failuresByReason)

    private fun counts(title: String, counts: Map<String, Long>): String =
        buildString {
            appendLine(if (counts.isEmpty()) "$title none" else title)
            counts.forEach { (reason, count) -> appendLine("  $count x $reason") }
        }

    private fun row(vararg cells: String): String =
        cells.first().padEnd(NAME_COLUMN_CHARACTERS) + cells.drop(1).joinToString("") { it.padStart(COLUMN_CHARACTERS) }

    private fun percent(fraction: Double) = String.format(Locale.ROOT, "%.1f %%", fraction * PERCENT)

    private fun milliseconds(value: Double) = String.format(Locale.ROOT, "%.0f ms", value)

    private companion object {
        private const val NAME_COLUMN_CHARACTERS = 22
        private const val COLUMN_CHARACTERS = 13
    }
}
