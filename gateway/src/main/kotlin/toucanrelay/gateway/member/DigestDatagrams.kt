package toucanrelay.gateway.member

/**
 * The datagrams of a digest.
 *
 * @property datagrams the encoded parts of the digest, each of a bounded size.
 * @property unsentReads entries that may be sent later and have no place in these datagrams.
 * @property droppedEntries number of the other entries for which there is no place.
 */
internal class DigestDatagrams(
    val datagrams: List<ByteArray>,
    val unsentReads: List<PromptReadEntry>,
    val droppedEntries: Int,
)
