package toucanrelay.measure.result

import java.util.Locale

/** Renders a scenario's result for people. */
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
            result.figures.forEach { appendLine("  ${it.name.padEnd(width)}  ${number(it.value)} ${it.unit}") }
            result.slopes.forEach { appendLine("  slope: ${slope(it)}") }
            appendLine("  target: ${result.target}")
            append("  within target: ${if (result.withinTarget) "yes" else "NO"}")
        }

    private fun slope(slope: Slope): String {
        val points = slope.points.joinToString { "${number(it.size)} -> ${number(it.value)}" }
        return "${slope.figure} ${number(slope.perUnit)} ${slope.unit} for each of ${slope.size} ($points)"
    }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%,.3f", value).trimEnd('0').trimEnd('.')
}
