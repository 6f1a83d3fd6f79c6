package toucanrelay.gateway.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import toucanrelay.core.quarantine.Suspect
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Reason why settings were rejected.
 *
 * @property detail the cause, with the setting and its allowed values where they apply.
 */
public data class SettingsProblem(
    public val detail: String,
)

/** Loads and validates settings. */
public object SettingsLoader {
    private val json = Json { ignoreUnknownKeys = true }

    /** Loads the settings from [file]. */
    public fun load(file: Path): Result<GatewaySettings, SettingsProblem> = readText(file).andThen { parse(it) }

    /** Reads the text of [file]. */
    internal fun readText(file: Path): Result<String, SettingsProblem> =
        try {
            Ok(file.readText())
        } catch (unreadable: IOException) {
            Err(SettingsProblem("cannot be read (${unreadable.javaClass.simpleName})"))
        }

    /** Parses and validates settings in JSON. */
    public fun parse(text: String): Result<GatewaySettings, SettingsProblem> = decode(text).andThen { check(it) }

    private fun decode(text: String): Result<GatewaySettings, SettingsProblem> =
        try {
            Ok(json.decodeFromString<GatewaySettings>(text))
        } catch (malformed: SerializationException) {
            Err(SettingsProblem(malformed.message?.lineSequence()?.first() ?: "not JSON"))
        }

    private fun check(settings: GatewaySettings): Result<GatewaySettings, SettingsProblem> {
        val problem =
            listOf(
                "callersAddress" to settings.callersAddress,
                "readinessAddress" to settings.readinessAddress,
                "storeAddress" to settings.storeAddress,
            ).firstOrNull { (_, value) -> GatewaySettings.addressOf(value) == null }
        val unknownSuspect = settings.releasedSuspects.firstOrNull { Suspect.parse(it) == null }
        return when {
            problem != null -> {
                Err(SettingsProblem("${problem.first}: '${problem.second}' is not host:port"))
            }

            settings.memberPorts.size != 2 -> {
                Err(SettingsProblem("memberPorts: must be [first, last]"))
            }

            settings.memberPorts[1] - settings.memberPorts[0] < GatewaySettings.TABLE_PORT_OFFSET -> {
                Err(
                    SettingsProblem("memberPorts: must span at least three ports"),
                )
            }

            settings.bounds.retryWindowSeconds <= 0 -> {
                Err(
                    SettingsProblem("bounds.retryWindowSeconds: must be greater than 0"),
                )
            }

            unknownSuspect != null -> {
                Err(SettingsProblem("releasedSuspects: '$unknownSuspect' is neither part:ID nor request:ID"))
            }

            else -> {
                Ok(settings)
            }
        }
    }
}
