package toucanrelay.daemon.entry.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import java.nio.file.Files
import java.nio.file.Path

private val page: List<String> =
    generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .map { it.resolve("docs/operators/refusals-and-retries.md") }
        .first { Files.exists(it) }
        .let { Files.readAllLines(it) }

class RefusalPageTest :
    DescribeSpec({
        describe("the operators' page on refusals and retries") {
            RefusalReason.entries.forEach { reason ->
                it("has one row for ${reason.type} with its status") {
                    page.count { it.startsWith("| `${reason.type}` | ${reason.status} |") } shouldBe 1
                }
            }

            RetryReason.entries.forEach { reason ->
                it("has one row for the retry ${reason.label}") {
                    page.count { it.startsWith("| `${reason.label}` |") } shouldBe 1
                }
            }

            it("has no other rows") {
                val rows = page.filter { it.startsWith("| `") && !it.startsWith("| `toucanrelay") }
                rows.size shouldBe RefusalReason.entries.size + RetryReason.entries.size
            }
        }

        describe("the default detail") {
            RefusalReason.entries.forEach { reason ->
                it("is a full sentence for ${reason.type}") { detailOf(reason) shouldEndWith "." }
            }
        }
    })
