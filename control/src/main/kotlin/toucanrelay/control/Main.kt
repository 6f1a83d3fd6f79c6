@file:JvmName("Main")

package toucanrelay.control

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs one command and exits with its exit code. */
public fun main(arguments: Array<String>) {
    val exitCode = runBlocking { Toucanctl(SystemConsole).run(arguments.toList()) }
    exitProcess(exitCode.number)
}
