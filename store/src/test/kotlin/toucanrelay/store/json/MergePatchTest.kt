package toucanrelay.store.json

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
class MergePatchTest :
    DescribeSpec({
        describe("a merge patch") {
            listOf(
                Triple("""{"a":"b"}""", """{"a":"c"}""", """{"a":"c"}"""),
                Triple("""{"a":"b"}""", """{"b":"c"}""", """{"a":"b","b":"c"}"""),
                Triple("""{"a":"b","b":"c"}""", """{"a":null}""", """{"b":"c"}"""),
                Triple("""{"a":{"b":"c"}}""", """{"a":{"b":"d","c":null}}""", """{"a":{"b":"d"}}"""),
                Triple("""{"a":[1,2]}""", """{"a":[3]}""", """{"a":[3]}"""),
                Triple("""{"a":"b"}""", """{"a":{"b":{"c":null}}}""", """{"a":{"b":{}}}"""),
            ).forEach { (target, patch, expected) ->
                it("turns $target by $patch into $expected") {
                    MergePatch.apply(parsed(target), parsed(patch)) shouldBe parsed(expected)
                }
            }

            it("between two objects turns the first into the second") {
                checkAll(PropTestConfig(seed = 20_261_204), objects, objects) { from, to ->
                    MergePatch.apply(from, MergePatch.between(from, to)) shouldBe to
                }
            }

            it("contains only the changed members") {
                checkAll(PropTestConfig(seed = 20_261_205), objects, Arb.int()) { from, value ->
                    val to = JsonObject(from + ("changed" to JsonPrimitive(value)))
                    MergePatch.between(from, to) shouldBe JsonObject(mapOf("changed" to JsonPrimitive(value)))
                }
            }
        }
    })

private fun parsed(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject

private val objects = arbitrary { source -> randomObject(source.random, depth = 3) }

private fun randomObject(random: Random, depth: Int): JsonObject =
    JsonObject(
        (0 until random.nextInt(5)).associate {
            "abcdef"[random.nextInt(6)].toString() to
                randomElement(random, depth)
        },
    )

private fun randomElement(random: Random, depth: Int): JsonElement =
    when (random.nextInt(if (depth == 0) 3 else 6)) {
        0 -> JsonPrimitive(random.nextInt(4))
        1 -> JsonPrimitive("text ${random.nextInt(3)}")
        2 -> JsonArray(List(random.nextInt(3)) { JsonPrimitive(it) })
        else -> randomObject(random, depth - 1)
    }
