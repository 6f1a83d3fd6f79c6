package toucanrelay.core.http

/** Bytes in the order in which they arrived on a connection. */
public interface ReceivedBytes {
    /** Number of bytes. */
    public val size: Int

    /** Returns the position of the first line feed from [start] on, or -1 if there is none. */
    public fun indexOfLineFeed(start: Int): Int

    /** Returns the bytes from [start] until [end] as one character each (ISO 8859-1). */
    public fun text(start: Int, end: Int): String
}
