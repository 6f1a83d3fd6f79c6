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
                it("of ${entry.group} ${entry.name} shows how it is called") {
                    withTool { tool ->
                        tool.run(entry.group, entry.name, "--help") shouldBe ExitCode.DONE
                        tool.output() shouldContain "usage: toucanctl ${entry.group} ${entry.name}"
                        tool.output() shouldContain "--output"
                    }
                }
            }
        }

        describe("a wrong command line") {
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
                it("\"${arguments.joinToString(" ")}\" is told and exits with 2") {
                    withTool { tool ->
                        tool.run(*arguments.toTypedArray()) shouldBe ExitCode.USAGE
                        tool.errors() shouldContain "toucanctl: "
                    }
                }
            }
        }

        describe("key generate") {
            it("keeps the private half out of what it prints") {
                withTool { tool ->
                    tool.run("key", "generate", "--id", "new", "--key-file", tool.path("new.key")) shouldBe
                        ExitCode.DONE
                    tool.output() shouldContain "ed25519PublicKeyBase64"
                    tool.output() shouldNotContain "Private"
                }
            }

            it("does not overwrite a key") {
                withTool { tool ->
                    tool.run("key", "generate", "--id", "operator-1", "--key-file", tool.key) shouldBe ExitCode.REFUSED
                }
            }
        }

        describe("bundle validate") {
            it("accepts a valid document") {
                withTool { tool -> tool.run("bundle", "validate", tool.document()) shouldBe ExitCode.DONE }
            }

            it("names file, path and what is allowed") {
                withTool { tool ->
                    val file = tool.write("wrong.json", SAMPLE_DOCUMENT.replace("\"share\": 4", "\"share\": 0"))
                    tool.run("bundle", "validate", file) shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "$file: organisations.depot.share"
                    tool.errors() shouldContain "greater than 0"
                }
            }

            it("gives machines the error too") {
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
                    tool.run("bundle", "status", "--output", "json", *tool.platform) shouldBe ExitCode.DONE
                    tool.output() shouldContain "\"version\":2"
                }
            }

            it("says that a version is accepted already when it is rolled out again") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.rollOut(1) shouldBe ExitCode.DONE
                    tool.output() shouldContain "accepted already"
                }
            }

            it("is a conflict when the version skips one") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.rollOut(3) shouldBe ExitCode.CONFLICT
                    tool.errors() shouldContain "version 1 is in force"
                }
            }

            it("has the outcome of the write although its answer was lost") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.stand.faults = PlatformFaults(loseAnswersOfNextWrites = 1)
                    tool.rollOut(2) shouldBe ExitCode.DONE
                    tool.output() shouldContain "version 2 is accepted"
                }
            }

            it("exits with 4 and changes nothing while the platform is down") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.stand.faults = PlatformFaults(down = true)
                    tool.rollOut(2) shouldBe ExitCode.UNREACHABLE
                    tool.stand.faults = PlatformFaults()
                    tool.run("bundle", "status", *tool.platform)
                    tool.output() shouldContain "version 1,"
                }
            }

            it("to a process that nobody runs exits with 4") {
                withTool { tool ->
                    val signed = tool.sign(1)
                    tool.run("bundle", "roll-out", signed, "--to", "127.0.0.1:1") shouldBe ExitCode.UNREACHABLE
                }
            }
        }

        describe("failure-domain") {
            it("take-out and bring-back make the next versions") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.change("bring-back", "east-1") shouldBe ExitCode.DONE
                    tool.run("bundle", "status", "--output", "json", *tool.platform)
                    tool.output() shouldContain "\"version\":3"
                    tool.output() shouldContain "{\"failureDomain\":\"east-1\",\"region\":\"east\",\"inService\":true,"
                }
            }

            it("take-out of one that is out already makes no version") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "east-1")
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.output() shouldContain "already, by version 2"
                }
            }

            it("take-out of an unknown one names those that are known") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.change("take-out", "north-1") shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "east-1, west-1"
                }
            }

            it("take-out holds although the answer was lost, and makes one version only") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.stand.faults = PlatformFaults(loseAnswersOfNextWrites = 1)
                    tool.change("take-out", "east-1") shouldBe ExitCode.DONE
                    tool.run("bundle", "status", *tool.platform)
                    tool.output() shouldContain "version 2,"
                }
            }

            it("take-out does not sign off a bundle of an operator whom it does not know") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.run("key", "generate", "--id", "operator-2", "--key-file", tool.path("2.key"))
                    val arguments = arrayOf("failure-domain", "take-out", "east-1", "--key", tool.path("2.key"))
                    tool.run(*arguments, *tool.platform) shouldBe ExitCode.REFUSED
                    tool.errors() shouldContain "unknown key \"operator-1\""
                }
            }

            it("take-out by another operator works with the list of the operators' keys") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.run("key", "generate", "--id", "operator-2", "--key-file", tool.path("2.key"))
                    val keys = tool.write("keys.json", "[${tool.publicKey}]")
                    val arguments = arrayOf("failure-domain", "take-out", "east-1", "--key", tool.path("2.key"))
                    tool.run(*arguments, "--operator-keys", keys, *tool.platform) shouldBe ExitCode.DONE
                }
            }

            it("changes by two operators at once get one winner and one conflict") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.stand.faults = PlatformFaults(delayMilliseconds = 300)
                    val outcomes =
                        coroutineScope {
                            listOf("east-1", "west-1")
                                .map { async { tool.copy().change("take-out", it) } }
                                .awaitAll()
                        }
                    tool.stand.faults = PlatformFaults()
                    outcomes shouldContainExactlyInAnyOrder listOf(ExitCode.DONE, ExitCode.CONFLICT)
                    tool.run("bundle", "status", *tool.platform)
                    tool.output() shouldContain "version 2,"
                }
            }
        }

        describe("fleet status") {
            it("shows the platform's list and who was not asked") {
                withTool { tool ->
                    tool.rollOut(1)
                    tool.stand.putInstance(
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
                    tool.run("fleet", "status", *tool.platform) shouldBe ExitCode.DONE
                    tool.lines() shouldContain "bundle version 1 stands, 1 processes"
                    tool.output() shouldContain "agent-1"
                    tool.output() shouldContain "leaving"
                    tool.output() shouldContain "not asked"
                }
            }

            it("shows who does not answer") {
                withTool { tool ->
                    tool.run("fleet", "status", "127.0.0.1:1", "--output", "json", *tool.platform) shouldBe
                        ExitCode.DONE
                    tool.output() shouldContain "\"answer\":\"SILENT\""
                }
            }
        }
    })
