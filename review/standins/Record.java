import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", now(), text);
    }

    synchronized void result(String text) {
        line(text);
        System.out.println(text);
    }
}
