import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run. */
final class Record {
    private final long begin = System.nanoTime();
    private final PrintWriter writer;

    Record(Path folder) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    synchronized void line(String text) {
        writer.printf(Locale.ROOT, "%9.3f %s%n", seconds(), text);
        writer.flush();
    }

    double seconds() {
        return (System.nanoTime() - begin) / 1e9;
    }
}
