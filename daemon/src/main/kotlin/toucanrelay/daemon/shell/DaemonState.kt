package toucanrelay.daemon.shell

/** Lifecycle state of a daemon. */
internal enum class DaemonState {
    STARTING,
    RUNNING,
    STOPPING,
    STOPPED,
}
