package toucanrelay.measure.quickstart

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.measure.load.Endpoint

class QuickstartOptionsTest :
    DescribeSpec({
        describe("the quickstart's options") {
            it("parse endpoints and organisations") {
                val options = QuickstartOptions()
                options.entries = listOf("127.0.0.1:80")
                options.organisations = listOf("drivers:3:key:with:colons")
                options.entryEndpoints() shouldBe listOf(Endpoint("127.0.0.1", 80))
                options.quickstartOrganisations() shouldBe
                    listOf(QuickstartOrganisation("drivers", 3.0, "key:with:colons"))
            }

            listOf("drivers", "drivers:3", "drivers:many:key", "drivers:0:key").forEach { text ->
                it("reject the organisation $text") {
                    val options = QuickstartOptions()
                    options.organisations = listOf(text)
                    shouldThrow<IllegalArgumentException> { options.quickstartOrganisations() }
                }
            }

            it("reject an entry without a port") {
                val options = QuickstartOptions()
                options.entries = listOf("127.0.0.1")
                shouldThrow<IllegalArgumentException> { options.entryEndpoints() }
            }
        }
    })
