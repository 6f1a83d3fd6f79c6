package toucanrelay.control

/** Where a command writes. */
public interface Console {
    /** Writes a line of the result. */
    public fun print(line: String)

    /** Writes a line about what went wrong. */
    public fun printError(line: String)
}

/** Writes to standard output and standard error. */
internal object SystemConsole : Console {
    override fun print(line: String) = println(line)

    override fun printError(line: String) = System.err.println(line)
}
