package toucanrelay.gateway.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Path

private const val VALID_SETTINGS =
    """{"instance":"i","failureDomain":"d","regions":{"d":"r"},"address":"10.0.0.1","callersAddress":"10.0.0.1:80",
    "readinessAddress":"10.0.0.1:81","memberPorts":[7400,7415],"storeAddress":"10.0.0.2:90","later":1,
    "bounds":{"revocationMilliseconds":5000,
    "shutdownSeconds":8,"retryRatio":0.2,"retryReserve":54,"retryWindowSeconds":10}}"""

class SettingsLoaderTest :
    DescribeSpec({
        describe("settings") {
            it("are decoded, and unknown fields are ignored") {
                val settings = SettingsLoader.parse(VALID_SETTINGS).getOrThrow { AssertionError(it.detail) }
                settings.memberPort shouldBe 7_400
                settings.region?.value shouldBe "r"
            }
        }

        describe("invalid settings") {
            listOf(
                "malformed JSON" to ("[" to "JSON"),
                "a missing field" to (VALID_SETTINGS.replace("\"instance\":\"i\",", "") to "instance"),
                "an address without a port" to (VALID_SETTINGS.replace("10.0.0.2:90", "10.0.0.2") to "storeAddress"),
                "one port for members" to (VALID_SETTINGS.replace("[7400,7415]", "[7400]") to "memberPorts"),
                "two ports for members" to (VALID_SETTINGS.replace("[7400,7415]", "[7400,7401]") to "memberPorts"),
                "an empty retry window" to
                    (
                        VALID_SETTINGS.replace("\"retryWindowSeconds\":10", "\"retryWindowSeconds\":0") to
                            "retryWindowSeconds"
                    ),
            ).forEach { (what, case) ->
                it("are rejected with a detail that names the cause: $what") {
                    SettingsLoader
                        .parse(case.first)
                        .getError()
                        ?.detail
                        .orEmpty() shouldContain case.second
                }
            }

            it("are rejected with a detail that says that the file cannot be read") {
                SettingsLoader
                    .load(Path.of("/nowhere"))
                    .getError()
                    ?.detail
                    .orEmpty() shouldContain "cannot be read"
            }
        }
    })
