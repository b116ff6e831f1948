import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on sockets. */
final class Http {
    /** A message; the names of its headers are in lower case. */
    record Message(String first, Map<String, String> headers, String body, boolean isWhole) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private Http() {}

    /** A channel of a client. */
    static final class Channel implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream input;

        Channel(String ip, int port, int timeoutMilliseconds) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMilliseconds);
            input = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads its answer; an answer that breaks off is returned as not whole. */
        Message call(String request) throws IOException {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return read(input);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Reads a message; null if the channel ends before its first byte. */
    static Message read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
            int at = line.indexOf(':');
            headers.put(line.substring(0, at).trim().toLowerCase(Locale.ROOT), line.substring(at + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isWhole;
        try {
            isWhole = readBody(input, headers, body);
        } catch (IOException failure) {
            isWhole = false;
        }
        return new Message(first, headers, body.toString(StandardCharsets.UTF_8), isWhole);
    }

    private static boolean readBody(InputStream input, Map<String, String> headers, ByteArrayOutputStream body)
        throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            while (true) {
                String size = line(input);
                if (size == null) return false;
                int length = Integer.parseInt(size.trim(), 16);
                byte[] bytes = input.readNBytes(length);
                body.writeBytes(bytes);
                if (bytes.length < length) return false;
                if (line(input) == null) return false;
                if (length == 0) return true;
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] bytes = input.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) return null;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
