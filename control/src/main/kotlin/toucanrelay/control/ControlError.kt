package toucanrelay.control

import toucanrelay.store.bundle.BundleStoreError

/** Reason why a command failed. */
public sealed interface ControlError {
    /** Description of the error, with one line per problem. */
    public val detail: String

    /** Exit code for this kind of error. */
    public val exitCode: ExitCode

    /**
     * The command line is invalid.
     *
     * @property detail description of the error.
     */
    public data class Usage(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.USAGE
    }

    /**
     * An input is invalid or was refused, or a file cannot be read or written.
     *
     * @property detail description of the error.
     */
    public data class Refused(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.REFUSED
    }

    /**
     * Another bundle version is in force than the command expects.
     *
     * @property detail description with the version in force.
     */
    public data class Conflict(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.CONFLICT
    }

    /**
     * The platform or the process cannot be reached.
     *
     * @property detail description of the cause.
     */
    public data class Unreachable(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /**
     * It is unknown whether the change took effect.
     *
     * @property detail description of the cause.
     */
    public data class OutcomeUnknown(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.OUTCOME_UNKNOWN
    }
}

/** Converts an error of the bundle store to the error of a command. */
internal fun BundleStoreError.toControlError(): ControlError =
    when (this) {
        is BundleStoreError.Conflict -> {
            ControlError.Conflict(detail)
        }

        is BundleStoreError.Unreachable -> {
            ControlError.Unreachable(detail)
        }

        is BundleStoreError.Unreadable -> {
            ControlError.Refused(detail)
        }

        is BundleStoreError.OutcomeUnknown -> {
            ControlError.OutcomeUnknown("$detail; see: toucanctl bundle status")
        }
    }
