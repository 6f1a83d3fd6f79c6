package toucanrelay.gateway.http

import kotlinx.coroutines.CancellationException

/** Signals that the connection of a caller was closed before its request had ended. */
internal class CallerDisconnected : CancellationException("the caller's connection was closed")
