package toucanrelay.control

/** Output of the command-line tool. */
public interface Console {
    /** Writes a line of the result to the standard output. */
    public fun print(line: String)

    /** Writes a line of an error message to the standard error. */
    public fun printError(line: String)
}

/** Console of the process. */
internal object SystemConsole : Console {
    override fun print(line: String) = println(line)

    override fun printError(line: String) = System.err.println(line)
}
