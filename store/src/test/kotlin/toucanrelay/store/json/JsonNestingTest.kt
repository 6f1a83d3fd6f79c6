package toucanrelay.store.json

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class JsonNestingTest :
    DescribeSpec({
        data class Case(
            val name: String,
            val text: String,
            val isDeeper: Boolean,
        )

        describe("with a limit of three levels, a document") {
            listOf(
                Case("of three levels passes", """{"a": [{"b": 1}]}""", false),
                Case("of four levels does not", """{"a": [{"b": []}]}""", true),
                Case("with many values on one level passes", "[[],[],[],[],[]]", false),
                Case("with brackets in a string passes", """["[[[[[{{{{"]""", false),
                Case("with an escaped quote in a string passes", """["\"[[[[["]""", false),
                Case("with brackets after an escaped backslash does not", """["\\",[[[1]]]]""", true),
                Case("that never closes is judged by what it opens", "[".repeat(100_000), true),
            ).forEach { case ->
                it(case.name) {
                    isJsonNestedDeeperThan(case.text, limit = 3) shouldBe case.isDeeper
                }
            }
        }
    })
