package toucanrelay.soak

import kotlinx.serialization.json.Json
import toucanrelay.gateway.settings.GatewaySettings
import java.io.OutputStream
import java.nio.file.Path
import kotlin.io.path.outputStream

/** Returns these settings as the text of a settings file. */
internal fun GatewaySettings.toJson(): String = Json.encodeToString(GatewaySettings.serializer(), this)

/** A named pipe in place of a settings file, which keeps a process in the middle of reading its settings. */
internal class SettingsPipe(
    private val file: Path,
) {
    private lateinit var output: OutputStream

    init {
        val exitCode = ProcessBuilder("mkfifo", file.toString()).start().waitFor()
        check(exitCode == 0) { "mkfifo failed with $exitCode" }
    }

    /** Waits until the process has opened its settings. */
    fun awaitReader() {
        output = file.outputStream()
    }

    /** Lets the process read [text] as its settings. */
    fun complete(text: String) {
        output.use { it.write(text.encodeToByteArray()) }
    }
}
