package toucanrelay.gateway.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import java.nio.file.Path

/**
 * The settings file of a process, which may be replaced at any time, also while it is read.
 *
 * A change is detected by the content. The modification time does not suffice: it has coarse steps, and it may belong to a
 * newer content than the one that was read. Not safe for use by several threads at once.
 */
internal class SettingsFile(
    private val path: Path,
) {
    /** Content at the last reading; null if the file could not be read. */
    private var lastText: String? = null

    /** Reads the settings. */
    fun read(): Result<GatewaySettings, SettingsProblem> = parse(SettingsLoader.readText(path))

    /** Reads the settings if the file has changed since the last reading; returns null if it has not. */
    fun readIfChanged(): Result<GatewaySettings, SettingsProblem>? {
        val text = SettingsLoader.readText(path)
        return if (text.get() == lastText) null else parse(text)
    }

    /** Reads the settings; reads them again for a short time while they are invalid, as during a replacement. */
    fun awaitValid(): Result<GatewaySettings, SettingsProblem> {
        repeat(REPLACEMENT_CHECKS) {
            val settings = read()
            if (settings.isOk) return settings
            Thread.sleep(REPLACEMENT_CHECK_MILLISECONDS)
        }
        return read()
    }

    private fun parse(text: Result<String, SettingsProblem>): Result<GatewaySettings, SettingsProblem> {
        lastText = text.get()
        return text.andThen { SettingsLoader.parse(it) }
    }

    private companion object {
        const val REPLACEMENT_CHECKS = 20
        const val REPLACEMENT_CHECK_MILLISECONDS = 50L
    }
}
