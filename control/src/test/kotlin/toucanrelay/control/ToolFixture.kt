package toucanrelay.control

import toucanrelay.standins.PlatformStandIn
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList

const val SAMPLE_DOCUMENT = """
{
  "organisations": {"depot": {"share": 4, "keyDigests": []}},
  "targets": {
    "model-1": {
      "region": "east", "failureDomain": "east-1", "pools": ["briefing"], "slots": 8, "coldSlots": 2
    }
  },
  "failureDomains": {"east-1": {"region": "east"}, "west-1": {"region": "west"}}
}
"""

/** Runs the tool against a platform stand-in, with a working directory and the key of one operator. */
class ToolFixture(
    val platform: PlatformStandIn,
    private val port: Int,
    private val directory: Path,
) {
    val platformOptions = arrayOf("--platform", "http://127.0.0.1:$port")
    val key = path("operator-1.key")
    var publicKey = ""
    private val printed = CopyOnWriteArrayList<String>()
    private val printedErrors = CopyOnWriteArrayList<String>()

    private val console =
        object : Console {
            override fun print(line: String) {
                printed += line
            }

            override fun printError(line: String) {
                printedErrors += line
            }
        }

    /** Returns a second fixture with the same platform and files but separate output, for concurrent commands. */
    fun copy() = ToolFixture(platform, port, directory)

    fun path(name: String): String = directory.resolve(name).toString()

    fun write(name: String, text: String): String = path(name).also { Files.writeString(Path.of(it), text) }

    fun writeDocument(): String = write("bundle.json", SAMPLE_DOCUMENT)

    suspend fun run(vararg arguments: String): ExitCode {
        if (!Files.exists(Path.of(key))) generateKey()
        printed.clear()
        printedErrors.clear()
        return Toucanctl(console).run(arguments.toList())
    }

    suspend fun sign(version: Int): String {
        val signed = path("signed-$version.json")
        val arguments = arrayOf("bundle", "sign", writeDocument(), "--version", "$version", "--key", key)
        check(run(*arguments, "--signed-file", signed) == ExitCode.DONE) { errors() }
        return signed
    }

    suspend fun rollOut(version: Int): ExitCode = run("bundle", "roll-out", sign(version), *platformOptions)

    suspend fun change(action: String, failureDomain: String): ExitCode =
        run("failure-domain", action, failureDomain, "--key", key, *platformOptions)

    fun lines(): List<String> = printed.toList()

    fun output(): String = printed.joinToString("\n")

    fun errors(): String = printedErrors.joinToString("\n")

    private suspend fun generateKey() {
        Toucanctl(console).run(listOf("key", "generate", "--id", "operator-1", "--key-file", key))
        publicKey = printed.joinToString("")
    }
}
