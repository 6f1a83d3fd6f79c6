package toucanrelay.daemon.entry.link

import toucanrelay.core.identity.ProcessRun
import toucanrelay.wire.ProcessIdentity

/** The run as it stands on the wire. */
internal fun ProcessRun.toWire(): ProcessIdentity =
    ProcessIdentity
        .newBuilder()
        .setInstanceId(instance.value)
        .setIncarnation(incarnation.value)
        .build()
