package toucanrelay.control.report

/** Text table whose columns are as wide as their widest cell. */
internal class Table(
    private val header: List<String>,
    private val rows: List<List<String>>,
) {
    /** Returns the lines of the table, header first. */
    fun lines(): List<String> {
        val headerAndRows = listOf(header) + rows
        val widths = header.indices.map { column -> headerAndRows.maxOf { it[column].length } }
        return headerAndRows.map { row -> row.indices.joinToString("  ") { row[it].padEnd(widths[it]) }.trimEnd() }
    }
}
