package loadbalancer.faults;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as a peer reads it. The last value counts of a header that comes twice. */
record Message(String start, Map<String, String> headers, String body) {
    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    /** Reads messages out of bytes that come in pieces. Interim answers are passed over. */
    static final class Reader {
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

        /** All messages that are whole now. */
        List<Message> add(byte[] bytes) {
            buffer.writeBytes(bytes);
            List<Message> whole = new ArrayList<>();
            for (Message m = next(); m != null; m = next()) {
                if (!m.start.startsWith("HTTP/1.1 1")) {
                    whole.add(m);
                }
            }
            return whole;
        }

        /** Whether a message has begun that is not whole. */
        boolean inTheMiddle() {
            return buffer.size() > 0;
        }

        private Message next() {
            String text = buffer.toString(StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return null;
            }
            String[] lines = text.substring(0, end).split("\r\n");
            Map<String, String> headers = new LinkedHashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                headers.put(
                        lines[i].substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim());
            }
            int from = end + 4;
            StringBuilder body = new StringBuilder();
            int to =
                    "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))
                            ? chunks(text, from, body)
                            : plain(text, from, headers, body);
            if (to < 0) {
                return null;
            }
            byte[] rest = text.substring(to).getBytes(StandardCharsets.ISO_8859_1);
            buffer.reset();
            buffer.writeBytes(rest);
            return new Message(lines[0], headers, body.toString());
        }

        private static int plain(
                String text, int from, Map<String, String> headers, StringBuilder body) {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (text.length() < from + length) {
                return -1;
            }
            body.append(text, from, from + length);
            return from + length;
        }

        private static int chunks(String text, int from, StringBuilder body) {
            int at = from;
            while (true) {
                int line = text.indexOf("\r\n", at);
                if (line < 0) {
                    return -1;
                }
                int length = Integer.parseInt(text.substring(at, line).trim(), 16);
                at = line + 2;
                if (text.length() < at + length + 2) {
                    return -1;
                }
                body.append(text, at, at + length);
                at += length + 2;
                if (length == 0) {
                    return at;
                }
            }
        }
    }
}
