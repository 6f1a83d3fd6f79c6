package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import toucanrelay.platform.standin.TargetScript

private const val CALLERS = 8
private const val STREAMS_OF_EACH = 250

class CutStreamTest :
    DescribeSpec({
        val fixture = GatewayFixture()

        afterSpec { fixture.kill() }

        describe("a stream that its target cuts off within an event") {
            it("never reaches its caller as a whole answer") {
                fixture.start()
                val cut =
                    TargetScript { request, received, target ->
                        target.respondWithStream(request, received, 1, 3, isCut = true)
                    }
                fixture.targets.forEach { it.script = cut }

                suspend fun wholeAnswers() =
                    List(STREAMS_OF_EACH) { fixture.runCatching { send("/chats/x") }.getOrNull() }
                        .filterNotNull()
                        .map { "${it.status} ${it.headers} ${it.body}" }
                coroutineScope { List(CALLERS) { async { wholeAnswers() } }.awaitAll().flatten() }.shouldBeEmpty()
            }
        }
    })
