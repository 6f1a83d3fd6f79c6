package toucanrelay.control.command

/**
 * Describes a subcommand, for selecting it from the command line and for the help text.
 *
 * @property group first word of the command.
 * @property name second word of the command.
 * @property arguments arguments and options as shown in the help text.
 * @property summary what the command does, as shown in the help text.
 * @property create creates the command with default options.
 */
internal class CommandEntry(
    val group: String,
    val name: String,
    val arguments: String,
    val summary: String,
    val create: () -> Command,
) {
    /** Usage line of the command. */
    val synopsis: String
        get() = "$group $name $arguments".trim()

    companion object {
        private const val CHANGE_ARGUMENTS = "FAILURE_DOMAIN --key FILE --platform URL"

        /** All subcommands. */
        val all =
            listOf(
                CommandEntry("bundle", "validate", "FILE", "validates a bundle document") { BundleValidate() },
                CommandEntry(
                    group = "bundle",
                    name = "sign",
                    arguments = "FILE --version N --key FILE --signed-file FILE",
                    summary = "signs a bundle document as a new version",
                ) { BundleSign() },
                CommandEntry(
                    group = "bundle",
                    name = "roll-out",
                    arguments = "SIGNED_FILE (--platform URL | --to HOST:PORT)",
                    summary = "rolls out a signed bundle to the fleet or to one process",
                ) { BundleRollOut() },
                CommandEntry("bundle", "status", "--platform URL", "shows the bundle in force") { BundleStatus() },
                CommandEntry("failure-domain", "take-out", CHANGE_ARGUMENTS, "stops new work in a failure domain") {
                    FailureDomainChange(inService = false)
                },
                CommandEntry("failure-domain", "bring-back", CHANGE_ARGUMENTS, "resumes new work in a failure domain") {
                    FailureDomainChange(inService = true)
                },
                CommandEntry("fleet", "status", "--platform URL [HOST:PORT ...]", "shows the processes of the fleet") {
                    FleetStatus()
                },
                CommandEntry("key", "generate", "--id ID --key-file FILE", "generates an operator's key pair") {
                    KeyGenerate()
                },
            )
    }
}
