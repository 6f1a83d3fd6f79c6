package toucanrelay.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import toucanrelay.store.json.JsonObjectReader
import toucanrelay.store.json.JsonProblems
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Loads settings and reports all problems in them at once. */
public object SettingsLoader {
    /** Loads and checks the settings in [file]. */
    public fun load(file: Path): Result<DaemonSettings, SettingsError> = read(file).andThen { parse(it) }

    /** Parses and checks settings in JSON. */
    public fun parse(text: String): Result<DaemonSettings, SettingsError> = parseObject(text).andThen { check(it) }

    private fun read(file: Path): Result<String, SettingsError> =
        try {
            Ok(file.readText())
        } catch (error: IOException) {
            val cause = error.javaClass.simpleName
            Err(SettingsError.UnreadableFile("cannot be read ($cause); allowed is a readable file in UTF-8"))
        }

    private fun parseObject(text: String): Result<JsonObject, SettingsError> =
        try {
            val element = Json.parseToJsonElement(text)
            (element as? JsonObject)?.let { Ok(it) }
                ?: Err(SettingsError.Malformed("not a JSON object; allowed is a JSON object"))
        } catch (error: SerializationException) {
            Err(SettingsError.Malformed("not JSON: ${error.message?.lineSequence()?.first()}"))
        }

    private fun check(source: JsonObject): Result<DaemonSettings, SettingsError> {
        val problems = JsonProblems()
        val root = JsonObjectReader("", source, problems)
        val settings = SettingsReader.read(root)
        root.reportUnknownKeys()
        if (problems.all.isEmpty()) return Ok(settings)
        return Err(SettingsError.Invalid(problems.all.toPersistentList()))
    }
}
