package toucanrelay.control.command

/**
 * A subcommand of the tool.
 *
 * @property group first word.
 * @property name second word.
 * @property arguments what follows them, for the help text.
 * @property summary what it does, for the help text.
 * @property create makes a command with default options.
 */
internal class CommandEntry(
    val group: String,
    val name: String,
    val arguments: String,
    val summary: String,
    val create: () -> Command,
) {
    /** How the command is called. */
    val synopsis: String
        get() = "$group $name $arguments".trim()

    companion object {
        private const val CHANGE_ARGUMENTS = "FAILURE_DOMAIN --key FILE --platform URL"

        /** All subcommands. */
        val all =
            listOf(
                CommandEntry("bundle", "validate", "FILE", "checks a bundle document") { BundleValidate() },
                CommandEntry(
                    group = "bundle",
                    name = "sign",
                    arguments = "FILE --version N --key FILE --signed-file FILE",
                    summary = "signs a bundle document off as a version",
                ) { BundleSign() },
                CommandEntry(
                    group = "bundle",
                    name = "roll-out",
                    arguments = "SIGNED_FILE (--platform URL | --to HOST:PORT)",
                    summary = "puts a signed bundle in force, everywhere or on one process",
                ) { BundleRollOut() },
                CommandEntry("bundle", "status", "--platform URL", "shows the bundle in force") { BundleStatus() },
                CommandEntry("failure-domain", "take-out", CHANGE_ARGUMENTS, "stops new work in a failure domain") {
                    FailureDomainChange(inService = false)
                },
                CommandEntry("failure-domain", "bring-back", CHANGE_ARGUMENTS, "allows new work there again") {
                    FailureDomainChange(inService = true)
                },
                CommandEntry("fleet", "status", "--platform URL [HOST:PORT ...]", "shows the processes of the fleet") {
                    FleetStatus()
                },
                CommandEntry("key", "generate", "--id ID --key-file FILE", "makes an operator's key") {
                    KeyGenerate()
                },
            )
    }
}
