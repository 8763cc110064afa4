package loadbalancer.node.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.admin.AdminProtocol;

/**
 * Sends commands to the admin endpoint of a balancer process, one per connection. A process that
 * does not respond counts as not ready and has no counters. Stateless; a call to such a process
 * blocks for at most half a second to connect and half a second to read.
 */
final class AdminClient {
    /**
     * Timeout of the connect and of each read. It can be short, because the endpoint has a thread
     * of its own.
     */
    private static final int TIMEOUT_MILLIS = 500;

    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private AdminClient() {}

    /** Returns whether the process is ready to serve. */
    static boolean isReady(InetSocketAddress admin) {
        return send(admin, AdminProtocol.READY_COMMAND).startsWith(AdminProtocol.SUCCESS);
    }

    /** Returns the process's counters by name; empty if the response is incomplete. */
    static Map<String, Long> counters(InetSocketAddress admin) {
        String response = send(admin, AdminProtocol.STATS_COMMAND);
        Map<String, Long> counters = new HashMap<>();
        if (!response.endsWith(AdminProtocol.END_OF_RESPONSE + "\n")) {
            return counters;
        }
        for (String line : response.split("\n")) {
            int colon = line.lastIndexOf(':');
            int bar = line.lastIndexOf('|');
            if (colon > 0 && bar > colon) {
                addCounter(counters, line.substring(0, colon), line.substring(colon + 1, bar));
            }
        }
        return counters;
    }

    /** Adds a counter if its value is a whole number; other values are no counters. */
    private static void addCounter(Map<String, Long> counters, String name, String value) {
        try {
            counters.put(name, Long.parseLong(value));
        } catch (NumberFormatException e) {
            return;
        }
    }

    private static String send(InetSocketAddress admin, String command) {
        try (Socket socket = new Socket()) {
            socket.connect(admin, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(
                    socket.getInputStream().readNBytes(MAX_RESPONSE_BYTES),
                    StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }
}
