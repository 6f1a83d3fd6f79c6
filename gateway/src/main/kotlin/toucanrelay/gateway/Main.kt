@file:JvmName("Main")

package toucanrelay.gateway

/** Runs one gateway process until SIGTERM. */
public fun main(arguments: Array<String>) {
    // Before anything else is loaded: without a handler, SIGHUP ends the process.
    val reloadSignal = ReloadSignal.install()
    GatewayCommand(reloadSignal).run(arguments.toList())
}
