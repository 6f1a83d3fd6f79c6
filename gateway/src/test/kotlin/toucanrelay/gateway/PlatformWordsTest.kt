package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Names of the platform's protocol that the rest of the product must not know. */
private val PLATFORM_WORDS =
    Regex(
        "X-Key|X-Tenant|X-Deadline|X-Expect-Instance|X-Response-Seal|X-Not-Executed|X-Prompt-Prefix|X-Token-Counts|" +
            "X-Length-Hint|X-Model|X-Hold|X-Pin-Ms|X-Kv-|Kv-From|Kv-Fetch|TOUCANRELAY_BOOT|max-attempts|gap-goal|" +
            "max-connections|cold-start-s|cold-per-s|tokens-per-s|max-header-bytes|max-body-bytes|rows-get|rows-feed|rows-tx|api-keys|kv-tokens|evacuat|cold-remaining|latency-goal|wait-ms",
    )

class PlatformWordsTest :
    DescribeSpec({
        fun sourcesOf(module: String): List<Path> =
            Files.walk(Path.of("..", module, "src", "main")).use { paths ->
                paths.filter { it.extension == "kt" }.toList()
            }

        describe("the platform's words") {
            listOf("core", "gateway", "daemon", "store", "control").forEach { module ->
                it("stand nowhere in $module") {
                    sourcesOf(module).filter { PLATFORM_WORDS.containsMatchIn(it.readText()) }.shouldBeEmpty()
                }
            }
        }

        describe("core") {
            it("imports neither the platform's translation nor the gateway") {
                sourcesOf("core")
                    .filter { Regex("import toucanrelay\\.(platform|gateway)").containsMatchIn(it.readText()) }
                    .shouldBeEmpty()
            }
        }
    })
