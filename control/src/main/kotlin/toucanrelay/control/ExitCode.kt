package toucanrelay.control

/**
 * Outcome of a command, used as the exit code of the process.
 *
 * @property number numeric exit code.
 * @property meaning description for the help text.
 */
public enum class ExitCode(
    public val number: Int,
    public val meaning: String,
) {
    /** The command succeeded. */
    DONE(0, "done"),

    /** The input is invalid or was refused; nothing changed. */
    REFUSED(1, "invalid or refused, nothing changed"),

    /** The command line is invalid. */
    USAGE(2, "invalid command line"),

    /** Another version is in force than expected; nothing changed. */
    CONFLICT(3, "conflict with another version, nothing changed"),

    /** The platform or the process cannot be reached; nothing changed. */
    UNREACHABLE(4, "platform or process not reached, nothing changed"),

    /** It is unknown whether the change took effect. */
    OUTCOME_UNKNOWN(5, "outcome unknown"),
}
