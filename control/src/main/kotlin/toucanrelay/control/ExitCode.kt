package toucanrelay.control

/**
 * How a command ended, as the process's exit code.
 *
 * @property number the exit code.
 * @property meaning what it says, for the help text.
 */
public enum class ExitCode(
    public val number: Int,
    public val meaning: String,
) {
    /** The command did what it says. */
    DONE(0, "done"),

    /** The input is not valid or was refused; nothing changed. */
    REFUSED(1, "invalid or refused, nothing changed"),

    /** The command line is wrong. */
    USAGE(2, "wrong command line"),

    /** Another version stands; nothing changed. */
    CONFLICT(3, "conflict with another version, nothing changed"),

    /** The platform or process cannot be reached; nothing changed. */
    UNREACHABLE(4, "platform or process not reached, nothing changed"),

    /** Whether the change took effect is not known. */
    OUTCOME_UNKNOWN(5, "outcome unknown"),
}
