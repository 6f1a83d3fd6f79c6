package toucanrelay.gateway.stream

/** Reads the registrations of targets, of which a process has an older copy. */
internal fun interface RegistrationRefresh {
    /** Returns whether this process knows all targets that were registered at a moment after the call. */
    suspend fun refresh(): Boolean
}
