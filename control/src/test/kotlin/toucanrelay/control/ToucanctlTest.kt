package toucanrelay.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import toucanrelay.control.command.CommandEntry
import toucanrelay.standins.ListedInstance
import toucanrelay.standins.ListedRole
import toucanrelay.standins.ListedState
import toucanrelay.standins.PlatformFaults
import toucanrelay.standins.PlatformStandIn

class ToucanctlTest :
    DescribeSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun withTool(test: suspend (ToolFixture) -> Unit) {
            val platform = PlatformStandIn(vertx = vertx)
            val fixture = ToolFixture(platform, platform.start(), tempdir().toPath())
            try {
                test(fixture)
            } finally {
                platform.stop()
            }
        }

        describe("help") {
            it("lists all commands and exit codes") {
                withTool { tool ->
                    tool.run("--help") shouldBe ExitCode.DONE
                    CommandEntry.all.forEach { tool.output() shouldContain "${it.group} ${it.name}" }
                    ExitCode.entries.forEach { tool.output() shouldContain "${it.number} ${it.meaning}" }
                }
            }

            CommandEntry.all.forEach { entry ->
                it("of ${entry.group} ${entry.name} shows its usage") {
                    withTool { tool ->
                        tool.run(entry.group, entry.name, "--help") shouldBe ExitCode.DONE
                        tool.output() shouldContain "usage: toucanctl ${entry.group} ${entry.name}"
                        tool.output() shouldContain "--output"
                    }
                }
            }
        }

        describe("an invalid command line") {
            listOf(
                listOf("bundle"),
                listOf("bundles", "status"),
                listOf("bundle", "validate"),
                listOf("bundle", "status", "--platform", "10.0.0.1"),
                listOf("bundle", "status", "--unknown"),
                listOf("bundle", "sign", "f", "--version", "x"),
                listOf("bundle", "sign", "f", "--version", "0", "--key", "k", "--signed-file", "s"),
                listOf("fleet", "status", "--output", "yaml"),
                listOf("fleet", "status", "--platform", "http://127.0.0.1:1", "nowhere"),
                listOf("failure-domain", "take-out", "--platform", "http://127.0.0.1:1"),
                listOf("key", "generate", "--id", "a b", "--key-file", "k"),
            ).forEach { arguments ->
                it("\"${arguments.joinToString(" ")}\" is reported and exits with 2") {
                    withTool { tool ->
                        tool.run(*arguments.toTypedArray()) shouldBe ExitCode.USAGE
                        tool.errors() shouldContain "toucanctl: "
                    }
                }
            }
        }

        describe("key generate") {
            it("does not print the private key") {
                withTool { tool ->
                    tool.run("key", "generate", "--id", "new", "--key-file", tool.path("new.key")) shouldBe
                        ExitCode.DONE
                    tool.output() shouldContain "ed25519PublicKeyBase64"
                    tool.output() shouldNotContain "Private"
                }
            }

            it("does not overwrite a key file") {
                withTool { tool ->
                    tool.run("key", "generate", "--id", "operator-1", "--key-file", tool.key) shouldBe ExitCode.REFUSED
                }
            }
        }

        describe("bundle validate") {
            it("accepts a valid document") {
                withTool { tool -> tool.run("bundle", "validate", tool.writeDocument()) shouldBe ExitCode.DONE }
            }

            it("reports the file, the JSON path and the allowed value") {
                withTool { tool ->
                    val file = tool.write("wrong.json", SAMPLE_DOCUMENT.replace("\"share\": 4", "\"share\": 0"))
                    tool.run("bundle", "validate", file) shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "$file: organisations.depot.share"
                    tool.errors() shouldContain "greater than 0"
                }
            }

            it("writes the error as JSON with --output json") {
                withTool { tool ->
                    val file = tool.write("wrong.json", "tins")
                    tool.run("bundle", "validate", file, "--output", "json") shouldBe ExitCode.REFUSED
                    tool.output() shouldContain "{\"error\":\"refused\",\"exitCode\":1,"
                }
            }
        }

        describe("bundle roll-out") {
            it("puts the first and the next version in force") {
                withTool { tool ->
                    tool.rollOut(1) shouldBe ExitCode.DONE
                    tool.rollOut(2) shouldBe ExitCode.DONE
                    tool.run("bundle", "status", "--output", "json", *tool.platformOptions) shouldBe ExitCode.DONE
                    tool.output() shouldContain "\"version\":2"
                }
            }

            it("reports that a version is already accepted when it is rolled out again") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.rollOut(1) shouldBe ExitCode.DONE
                    tool.output() shouldContain "already accepted"
                }
            }

            it("reports a conflict when a version number is skipped") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.rollOut(3) shouldBe ExitCode.CONFLICT
                    tool.errors() shouldContain "version 1 is in force"
                }
            }

            it("reports the outcome of the write although its response was lost") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.platform.faults = PlatformFaults(loseAnswersOfNextWrites = 1)
                    tool.rollOut(2) shouldBe ExitCode.DONE
                    tool.output() shouldContain "version 2 is accepted"
                }
            }

            it("exits with 4 and changes nothing while the platform is down") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.platform.faults = PlatformFaults(down = true)
                    tool.rollOut(2) shouldBe ExitCode.UNREACHABLE
                    tool.platform.faults = PlatformFaults()
                    tool.run("bundle", "status", *tool.platformOptions)
                    tool.output() shouldContain "version 1,"
                }
            }

            it("exits with 4 when the process at --to is not running") {
                withTool { tool ->
                    val signed = tool.sign(1)
                    tool.run("bundle", "roll-out", signed, "--to", "127.0.0.1:1") shouldBe ExitCode.UNREACHABLE
                }
            }
        }

        describe("failure-domain") {
            it("take-out and bring-back each create the next version") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.change("bring-back", "east-1") shouldBe ExitCode.DONE
                    tool.run("bundle", "status", "--output", "json", *tool.platformOptions)
                    tool.output() shouldContain "\"version\":3"
                    tool.output() shouldContain "{\"failureDomain\":\"east-1\",\"region\":\"east\",\"inService\":true,"
                }
            }

            it("take-out of a failure domain that is already out creates no version") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "east-1")
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.output() shouldContain "is already out of service in version 2"
                }
            }

            it("take-out of an unknown failure domain lists the known ones") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "north-1") shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "east-1, west-1"
                }
            }

            it("take-out succeeds although the response was lost, and creates only one version") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.platform.faults = PlatformFaults(loseAnswersOfNextWrites = 1)
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.run("bundle", "status", *tool.platformOptions)
                    tool.output() shouldContain "version 2,"
                }
            }

            it("take-out does not re-sign a bundle signed by an unknown operator") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.run("key", "generate", "--id", "operator-2", "--key-file", tool.path("2.key"))
                    val arguments = arrayOf("failure-domain", "take-out", "east-1", "--key", tool.path("2.key"))
                    tool.run(*arguments, *tool.platformOptions) shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "unknown key \"operator-1\""
                }
            }

            it("take-out by another operator succeeds with --operator-keys") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.run("key", "generate", "--id", "operator-2", "--key-file", tool.path("2.key"))
                    val keys = tool.write("keys.json", "[${tool.publicKey}]")
                    val arguments = arrayOf("failure-domain", "take-out", "east-1", "--key", tool.path("2.key"))
                    tool.run(*arguments, "--operator-keys", keys, *tool.platformOptions) shouldBe ExitCode.DONE
                }
            }

            it("concurrent changes by two operators end in one success and one conflict") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.platform.faults = PlatformFaults(delayMilliseconds = 300)
                    val outcomes =
                        coroutineScope {
                            listOf("east-1", "west-1")
                                .map { async { tool.copy().change("take-out", it) } }
                                .awaitAll()
                        }
                    tool.platform.faults = PlatformFaults()
                    outcomes shouldContainExactlyInAnyOrder listOf(ExitCode.DONE, ExitCode.CONFLICT)
                    tool.run("bundle", "status", *tool.platformOptions)
                    tool.output() shouldContain "version 2,"
                }
            }
        }

        describe("fleet status") {
            it("shows the listed processes and which of them were not asked") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.platform.putInstance(
                        ListedInstance(
                            "agent-1",
                            ListedRole.AGENT,
                            ListedState.LEAVING,
                            "east",
                            "east-1",
                            "model-1",
                            "::1",
                            9,
                        ),
                    )
                    tool.run("fleet", "status", *tool.platformOptions) shouldBe ExitCode.DONE
                    tool.lines() shouldContain "bundle version 1 in force, 1 processes"
                    tool.output() shouldContain "agent-1"
                    tool.output() shouldContain "leaving"
                    tool.output() shouldContain "not asked"
                }
            }

            it("shows a process that does not respond") {
                withTool { tool ->
                    tool.run("fleet", "status", "127.0.0.1:1", "--output", "json", *tool.platformOptions) shouldBe
                        ExitCode.DONE
                    tool.output() shouldContain "\"answer\":\"SILENT\""
                }
            }
        }
    })
