package toucanrelay.gateway

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import toucanrelay.platform.SettingsLocation

/** Command-line options of the gateway. */
internal class GatewayArguments {
    @Argument(
        metaVar = "SETTINGS_FILE",
        usage = "JSON settings file; default: the file named by \$${SettingsLocation.VARIABLE}",
    )
    var settingsFile: String? = null

    @Option(name = "--check-settings", usage = "checks the settings file and exits")
    var isCheckOnly: Boolean = false

    @Option(
        name = "--self-test",
        usage = "serves requests between stand-ins on the loopback interface and exits with 0 on success",
    )
    var isSelfTest: Boolean = false

    @Option(name = "--help", help = true, usage = "prints this help")
    var help: Boolean = false
}
