import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client of the users' pages: one request on a new connection. */
final class Client {
    private Client() {
    }

    /** An answer; status 0 if none came, {@code isWhole} false if it broke off. */
    static final class Answer {
        int status;
        Map<String, String> headers = Map.of();
        byte[] body = new byte[0];
        boolean isWhole;
        String failure;

        String signature() {
            return headers.get("buckthornwheel-response-signature");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            if (status == 0) return "no answer (" + failure + ")";
            return status + ", signature " + signature() + ", " + body.length + " bytes, " + (isWhole ? "whole" : "broken off");
        }
    }

    static Answer send(InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body,
        int timeoutMs) throws IOException {
        Answer answer = new Answer();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            read(new BufferedInputStream(socket.getInputStream()), answer);
        } catch (IOException failure) {
            answer.failure = failure.toString();
        }
        return answer;
    }

    static void read(InputStream input, Answer answer) throws IOException {
        String[] head = Wire.head(input);
        if (head == null) {
            answer.failure = "connection closed";
            return;
        }
        answer.status = Integer.parseInt(head[0].split(" ")[1]);
        answer.headers = Wire.headers(head);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
                while (true) {
                    byte[] chunk = Wire.chunk(input);
                    if (chunk.length == 0) break;
                    body.write(chunk);
                }
            } else if (answer.headers.containsKey("content-length")) {
                body.write(Wire.exactly(input, Integer.parseInt(answer.headers.get("content-length"))));
            } else if (answer.status != 204) {
                input.transferTo(body);
            }
            answer.isWhole = true;
        } catch (IOException failure) {
            answer.failure = failure.toString();
        }
        answer.body = body.toByteArray();
    }
}
