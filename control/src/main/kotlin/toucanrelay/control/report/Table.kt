package toucanrelay.control.report

/** Columns of text for people, each as wide as its widest cell. */
internal class Table(
    private val header: List<String>,
    private val rows: List<List<String>>,
) {
    /** The lines of the table, header first. */
    fun lines(): List<String> {
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.map { row -> row.indices.joinToString("  ") { row[it].padEnd(widths[it]) }.trimEnd() }
    }
}
