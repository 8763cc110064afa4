import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Messages of HTTP/1.1, as much of it as the stand-ins need. */
final class Http {
    private Http() {}

    /** A message; the names of its header fields are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        boolean keepsAlive() {
            return !header("connection").equalsIgnoreCase("close");
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 1 << 16);
    }

    /** Reads a message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in, false); !field.isEmpty(); field = line(in, false)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new Message(start, headers, body(in, headers));
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                all.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            return all.toByteArray();
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    /** Reads a line without its end. */
    static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 && mayEnd && bytes.size() == 0) {
                return null;
            }
            if (next < 0) {
                throw new EOFException("stream ends within a line");
            }
            bytes.write(next);
        }
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A whole answer. */
    static byte[] answer(String status, String fields, byte[] body) {
        byte[] head =
                ascii("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static byte[] answer(String status, String fields, String body) {
        return answer(status, fields, ascii(body));
    }
}
