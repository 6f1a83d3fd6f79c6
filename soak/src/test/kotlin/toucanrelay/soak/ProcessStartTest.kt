package toucanrelay.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith

/** Exit code of a process that could not start. */
private const val EXIT_FAILED = 1

/** Exit code of a process that SIGTERM has ended. */
private const val EXIT_TERMINATED = 143

private const val HANG_UPS_DURING_STOP = 5

class ProcessStartTest :
    DescribeSpec({
        lateinit var fixture: ProcessFixture

        beforeEach {
            fixture = ProcessFixture("process-start")
            fixture.start()
        }

        afterEach { fixture.stop() }

        // Guards against a SIGHUP that ends a process, or is lost, since it comes before the process can reload.
        describe("a process that gets SIGHUP while it starts") {
            it("goes on and takes over the settings that were replaced while it read older ones") {
                val pipe = fixture.process.startAtPipe()
                pipe.awaitReader()
                fixture.process.replaceSettings(fixture.settings)
                fixture.process.hangUp()
                pipe.complete(fixture.unusableSettings.toJson())
                fixture.awaitReady()
            }

            it("goes on when the signal comes again and again until it is ready") {
                val pipe = fixture.process.startAtPipe()
                pipe.awaitReader()
                fixture.process.replaceSettings(fixture.settings)
                fixture.process.hangUp()
                pipe.complete(fixture.settings.toJson())
                fixture.awaitReady { fixture.process.hangUp() }
            }
        }

        // Guards against a change that is never seen, since it falls between two looks at the file.
        describe("a settings file that changes while a process starts, without a signal") {
            it("is taken over if it was replaced while the process read the older one") {
                val pipe = fixture.process.startAtPipe()
                pipe.awaitReader()
                fixture.process.replaceSettings(fixture.settings)
                pipe.complete(fixture.unusableSettings.toJson())
                fixture.awaitReady()
            }

            it("is read again if it was not written completely") {
                val pipe = fixture.process.startAtPipe()
                pipe.awaitReader()
                fixture.process.replaceSettings(fixture.settings)
                pipe.complete("")
                fixture.awaitReady()
            }
        }

        describe("a process that cannot open a port") {
            it("ends in time and says why") {
                fixture.withReadinessPortInUse {
                    fixture.process.start()
                    fixture.process.awaitExit(GatewayPorts.SHUTDOWN_SECONDS) shouldBe EXIT_FAILED
                }
                fixture.process.output shouldContain "cannot start: "
            }
        }

        // Guards against a process that ends with an error, or too late, if it is stopped before it has started.
        describe("a process that gets SIGTERM while it starts") {
            suspend fun shouldEndInTime() {
                fixture.process.requestStop()
                repeat(HANG_UPS_DURING_STOP) { fixture.process.hangUp() }
                fixture.process.requestStop()
                fixture.process.awaitExit(GatewayPorts.SHUTDOWN_SECONDS) shouldBe EXIT_TERMINATED
                fixture.process.output shouldNotContain "Exception"
                fixture.process.output shouldNotContain "cannot start"
            }

            it("ends in time while it reads its settings") {
                val pipe = fixture.process.startAtPipe()
                pipe.awaitReader()
                shouldEndInTime()
            }

            it("ends in time while it opens its ports") {
                fixture.process.start()
                fixture.awaitStartLine()
                shouldEndInTime()
            }

            it("answers a caller whose connection it has accepted, and ends in time") {
                fixture.process.start()
                fixture.awaitCaller().use { caller ->
                    caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: $LOOPBACK\r\n\r\n".encodeToByteArray())
                    shouldEndInTime()
                    caller.getInputStream().bufferedReader().readLine() shouldStartWith "HTTP/1.1 "
                }
            }

            it("ends in time once it is ready") {
                fixture.process.start()
                fixture.awaitReady()
                shouldEndInTime()
            }
        }
    })
