import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Reads {@code size} bytes in {@code milliseconds}, as over a narrow link. */
final class SlowInput extends FilterInputStream {
    private final double bytesPerMs;
    private long read;
    private long from;

    SlowInput(InputStream in, int size, int milliseconds) {
        super(in);
        bytesPerMs = (double) size / milliseconds;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        int count = super.read(bytes, offset, Math.min(length, 16_384));
        if (read == 0) from = Lab.now();
        read += Math.max(0, count);
        try {
            Lab.sleep(from + (long) (read / bytesPerMs) - Lab.now());
        } catch (InterruptedException ended) {
            throw new IOException(ended);
        }
        return count;
    }

    long bytes() {
        return read;
    }
}
