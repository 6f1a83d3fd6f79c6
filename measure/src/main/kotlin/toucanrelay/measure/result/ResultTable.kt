package toucanrelay.measure.result

import java.util.Locale

/** Renders a scenario's result as text. */
internal object ResultTable {
    fun render(result: ScenarioResult): String =
        buildString {
            val settings = result.settings
            appendLine("scenario ${result.scenario}")
            appendLine(
                "  seed ${settings.seed}, ${settings.seconds} s, ${settings.entries} entries, " +
                    "${settings.targets} targets, ${settings.organisations} organisations",
            )
            val width = result.figures.maxOfOrNull { it.name.length } ?: 0
            result.figures.forEach { appendLine("  ${it.name.padEnd(width)}  ${formatNumber(it.value)} ${it.unit}") }
            result.slopes.forEach { appendLine("  slope: ${formatSlope(it)}") }
            appendLine("  target: ${result.target}")
            append("  within target: ${if (result.withinTarget) "yes" else "NO"}")
        }

    private fun formatSlope(slope: Slope): String {
        val points = slope.points.joinToString { "${formatNumber(it.size)} -> ${formatNumber(it.value)}" }
        return "${slope.figure} ${formatNumber(slope.perUnit)} ${slope.unit} for each of ${slope.size} ($points)"
    }

    private fun formatNumber(value: Double): String =
        String.format(Locale.ROOT, "%,.3f", value).trimEnd('0').trimEnd('.')
}
