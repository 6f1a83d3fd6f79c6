package toucanrelay.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.outputStream

private const val EXIT_SETTINGS = 2

class HangUpTest :
    DescribeSpec({
        // Guards against a SIGHUP that ends a daemon, although it is meant to tell of changed settings.
        describe("a daemon that gets SIGHUP while it reads its settings") {
            it("goes on") {
                val pipe = Files.createTempDirectory("settings").resolve("daemon.json")
                ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()
                val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
                val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
                val process =
                    ProcessBuilder(java, "-cp", classPath, "toucanrelay.daemon.Main", pipe.toString())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start()
                // Opening the pipe waits until the daemon reads it.
                pipe.outputStream().use { settings ->
                    ProcessBuilder("kill", "-HUP", process.pid().toString()).start().waitFor()
                    settings.write("{".encodeToByteArray())
                }
                process.waitFor() shouldBe EXIT_SETTINGS
            }
        }
    })
