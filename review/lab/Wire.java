import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reading of HTTP/1.1 messages. */
final class Wire {
    private Wire() {
    }

    /** The lines of a head; null if the connection ended before it began. */
    static String[] head(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int next = input.read();
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("connection ended inside a head");
            }
            bytes.write(next);
            state = next == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : next == '\r' ? 1 : 0;
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).trim().split("\r\n");
    }

    /** Header fields by lower-case name. */
    static Map<String, String> headers(String[] head) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 1; index < head.length; index++) {
            int colon = head[index].indexOf(':');
            headers.put(head[index].substring(0, colon).trim().toLowerCase(), head[index].substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("connection ended inside a body");
        return bytes;
    }

    /** A chunk of a chunked body; empty at the end. */
    static byte[] chunk(InputStream input) throws IOException {
        int length = Integer.parseInt(line(input).split(";")[0].trim(), 16);
        byte[] bytes = exactly(input, length);
        line(input);
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) throw new EOFException("connection ended inside a chunk");
            if (next == '\n') return text.toString().trim();
            text.append((char) next);
        }
    }
}
