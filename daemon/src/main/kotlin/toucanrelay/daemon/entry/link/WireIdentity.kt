package toucanrelay.daemon.entry.link

import toucanrelay.core.identity.ProcessRun
import toucanrelay.wire.ProcessIdentity

/** Converts the run to its wire message. */
internal fun ProcessRun.toWire(): ProcessIdentity =
    ProcessIdentity
        .newBuilder()
        .setInstanceId(instance.value)
        .setIncarnation(incarnation.value)
        .build()
