package loadbalancer.node.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Asks at a process's operators' door. */
final class Call {
    /**
     * The door has a thread of its own; one that does not answer in this time is as good as shut.
     */
    private static final int PATIENCE_MS = 500;

    private static final int LONGEST = 1 << 20;

    private Call() {}

    /** Whether the process serves. */
    static boolean ready(InetSocketAddress door) {
        return ask(door, "READY").startsWith("SUCCESS");
    }

    /** Its figures by name; empty if it does not answer whole. */
    static Map<String, Long> stats(InetSocketAddress door) {
        String text = ask(door, "STATS");
        Map<String, Long> figures = new HashMap<>();
        if (!text.endsWith("EOT\n")) {
            return figures;
        }
        for (String line : text.split("\n")) {
            int colon = line.lastIndexOf(':');
            int bar = line.lastIndexOf('|');
            if (colon > 0 && bar > colon) {
                try {
                    figures.put(
                            line.substring(0, colon),
                            Long.parseLong(line.substring(colon + 1, bar)));
                } catch (NumberFormatException e) {
                    continue; // a figure of another form is not one that counts here
                }
            }
        }
        return figures;
    }

    private static String ask(InetSocketAddress door, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(door, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(
                    socket.getInputStream().readNBytes(LONGEST), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }
}
