package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Names of the platform protocol that the other modules of the product must not contain. */
private val PLATFORM_NAMES =
    Regex(
        "X-Key|X-Tenant|X-Deadline|X-Expect-Instance|X-Response-Seal|X-Not-Executed|X-Prompt-Prefix|X-Token-Counts|" +
            "X-Length-Hint|X-Model|X-Hold|X-Pin-Ms|X-Kv-|Kv-From|Kv-Fetch|TOUCANRELAY_BOOT|max-attempts|gap-goal|" +
            "Server-Limit|Server-Leaving|max-connections|cold-start-s|cold-per-s|tokens-per-s|max-header-bytes|max-body-bytes|rows-get|rows-feed|rows-tx|api-keys|kv-tokens|evacuat|cold-remaining|latency-goal|wait-ms",
    )

class PlatformNamesTest :
    DescribeSpec({
        fun sourcesOf(module: String): List<Path> =
            Files.walk(Path.of("..", module, "src", "main")).use { paths ->
                paths.filter { it.extension == "kt" }.toList()
            }

        describe("the names of the platform protocol") {
            listOf("core", "gateway", "daemon", "store", "control").forEach { module ->
                it("do not occur in $module") {
                    sourcesOf(module).filter { PLATFORM_NAMES.containsMatchIn(it.readText()) }.shouldBeEmpty()
                }
            }
        }

        describe("core") {
            it("imports neither platform nor gateway") {
                sourcesOf("core")
                    .filter { Regex("import toucanrelay\\.(platform|gateway)").containsMatchIn(it.readText()) }
                    .shouldBeEmpty()
            }
        }
    })
