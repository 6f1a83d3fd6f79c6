package toucanrelay.gateway.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Path

private const val WHOLE =
    """{"instance":"i","failureDomain":"d","regions":{"d":"r"},"address":"10.0.0.1","callersAddress":"10.0.0.1:80",
    "readinessAddress":"10.0.0.1:81","memberPorts":[7400,7415],"storeAddress":"10.0.0.2:90","later":1,
    "bounds":{"revocationMilliseconds":5000,
    "shutdownSeconds":8,"retryRatio":0.2,"retryReserve":54,"retryWindowSeconds":10}}"""

class SettingsLoaderTest :
    DescribeSpec({
        describe("settings") {
            it("are read, and fields that are not known are ignored") {
                val settings = SettingsLoader.parse(WHOLE).getOrThrow { AssertionError(it.detail) }
                settings.memberPort shouldBe 7_400
                settings.region?.value shouldBe "r"
            }
        }

        describe("settings that cannot be used") {
            listOf(
                "no JSON" to ("[" to "JSON"),
                "a missing field" to (WHOLE.replace("\"instance\":\"i\",", "") to "instance"),
                "an address without a port" to (WHOLE.replace("10.0.0.2:90", "10.0.0.2") to "storeAddress"),
                "one port for members" to (WHOLE.replace("[7400,7415]", "[7400]") to "memberPorts"),
                "two ports for members" to (WHOLE.replace("[7400,7415]", "[7400,7401]") to "memberPorts"),
                "an empty retry window" to
                    (WHOLE.replace("\"retryWindowSeconds\":10", "\"retryWindowSeconds\":0") to "retryWindowSeconds"),
            ).forEach { (what, case) ->
                it("say what is wrong with $what") {
                    SettingsLoader
                        .parse(case.first)
                        .getError()
                        ?.detail
                        .orEmpty() shouldContain case.second
                }
            }

            it("say that the file cannot be read") {
                SettingsLoader
                    .load(Path.of("/nowhere"))
                    .getError()
                    ?.detail
                    .orEmpty() shouldContain "cannot be read"
            }
        }
    })
