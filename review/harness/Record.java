import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String format, Object... values) {
        line(System.currentTimeMillis(), format, values);
    }

    synchronized void line(long atMillis, String format, Object... values) {
        String text = String.format("%8.3f s  ", (atMillis - start) / 1000.0) + String.format(format, values);
        out.println(text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
