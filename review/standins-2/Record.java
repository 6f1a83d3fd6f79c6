import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void add(String text) {
        out.println(now() + " " + text);
    }
}
