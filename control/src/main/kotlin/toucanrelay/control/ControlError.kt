package toucanrelay.control

import toucanrelay.store.bundle.BundleStoreError

/** Why a command did not do what it says. */
public sealed interface ControlError {
    /** What happened, on one line or one line for each problem. */
    public val detail: String

    /** The exit code that says it. */
    public val exitCode: ExitCode

    /**
     * The command line is wrong.
     *
     * @property detail what is wrong.
     */
    public data class Usage(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.USAGE
    }

    /**
     * A file, a document or a signature is not accepted.
     *
     * @property detail what is wrong.
     */
    public data class Refused(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.REFUSED
    }

    /**
     * Another version stands.
     *
     * @property detail which one.
     */
    public data class Conflict(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.CONFLICT
    }

    /**
     * The platform or a process cannot be reached.
     *
     * @property detail why.
     */
    public data class Unreachable(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /**
     * Whether the change took effect is not known.
     *
     * @property detail why.
     */
    public data class OutcomeUnknown(
        override val detail: String,
    ) : ControlError {
        override val exitCode: ExitCode = ExitCode.OUTCOME_UNKNOWN
    }
}

/** The command's error for an error of the bundle store. */
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
