package toucanrelay.store.json

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json

class CanonicalJsonTest :
    DescribeSpec({
        describe("canonical JSON") {
            it("sorts keys at every depth and removes whitespace") {
                val element = Json.parseToJsonElement("""{ "b": [ {"d": 1, "c": 2} ], "a": "x y" }""")

                CanonicalJson.of(element).text shouldBe """{"a":"x y","b":[{"c":2,"d":1}]}"""
            }

            it("keeps the spelling of numbers") {
                CanonicalJson.of(Json.parseToJsonElement("""{"a": 1.50}""")).text shouldBe """{"a":1.50}"""
            }
        }
    })
