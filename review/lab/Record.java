import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long begin = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long now() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    synchronized void line(String text) {
        writer.printf("%8d  %s%n", now(), text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
