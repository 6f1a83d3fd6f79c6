import java.io.Closeable;
import java.io.IOException;

/** Threads and sockets of the stand-ins. */
final class Threads {
    private Threads() {}

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException ignored) {
            // It is closed all the same.
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
