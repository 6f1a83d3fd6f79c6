package toucanrelay.soak

import io.kotest.core.spec.style.DescribeSpec

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
    })
