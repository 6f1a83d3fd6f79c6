package toucanrelay.gateway

import sun.misc.Signal

/**
 * Receives SIGHUP, which tells that the settings file has changed.
 *
 * The process handles the signal from its first moment on, long before it can reload anything. A signal that arrives too
 * early is kept until [deliverTo] is called.
 */
internal class ReloadSignal {
    private var action: (() -> Unit)? = null
    private var isPending = false

    /** Passes every signal on to [action] from now on, and once those that have arrived before. */
    @Synchronized
    fun deliverTo(action: () -> Unit) {
        this.action = action
        if (isPending) action()
        isPending = false
    }

    /** Handles one signal. */
    @Synchronized
    fun receive() {
        val action = action
        if (action == null) isPending = true else action()
    }

    internal companion object {
        /** Starts to handle SIGHUP in this process. */
        fun install(): ReloadSignal {
            val reloadSignal = ReloadSignal()
            Signal.handle(Signal("HUP")) { reloadSignal.receive() }
            return reloadSignal
        }
    }
}
