package toucanrelay.core.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import toucanrelay.core.quarantine.Suspect

/** Guards against what is kept and told of prompt parts growing with the ids that callers choose. */
class PromptPartIdTest :
    DescribeSpec({
        it("keeps ids of usual length") {
            listOf("", "a1", "x".repeat(32)).forEach { PromptPartId.of(it) shouldBe it }
        }

        it("replaces long ids by short ones that are the same each time, and their own") {
            val ids = List(1_000) { "x".repeat(13_000) + it }
            ids.map { PromptPartId.of(it) }.toSet().size shouldBe ids.size
            ids.forEach { PromptPartId.of(it).length shouldBe PromptPartId.MAX_CHARACTERS }
            PromptPartId.of(ids.first()) shouldBe PromptPartId.of(ids.first())
            PromptPartId.of("x".repeat(33)) shouldNotBe "x".repeat(32)
        }

        it("lets a suspect be released by the id of its part as callers state it, and as logs name it") {
            val stated = "x".repeat(40)
            val suspect = Suspect.PromptPart(PromptPartId.of(stated))
            Suspect.parse("part:$stated") shouldBe suspect
            Suspect.parse(suspect.toString()) shouldBe suspect
        }
    })
