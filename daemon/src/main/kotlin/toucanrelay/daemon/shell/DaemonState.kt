package toucanrelay.daemon.shell

/** Where a daemon is in its life. */
internal enum class DaemonState {
    STARTING,
    RUNNING,
    STOPPING,
    STOPPED,
}
