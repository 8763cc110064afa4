package loadbalancer.node.supervisor;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A process with the admin endpoint of a balancer. The file {@code behavior} in the folder of its
 * jar defines whether it becomes ready.
 */
public final class FakeBalancer {
    /** Limits how long a process outlives its test, however the test ends. */
    private static final int MAX_LIFETIME_MILLIS = 120_000;

    private FakeBalancer() {}

    /**
     * Responds at the admin address in {@code NODE_OPS} until the process is ended.
     *
     * @throws Exception if the address can't be bound
     */
    public static void main(String[] args) throws Exception {
        Path jar =
                Path.of(
                        FakeBalancer.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI());
        String behavior = Files.readString(jar.resolveSibling("behavior"));
        if (behavior.equals("crashes")) {
            System.exit(3);
        }
        String[] address = System.getenv("NODE_OPS").split(":");
        try (ServerSocket socket =
                new ServerSocket(
                        Integer.parseInt(address[1]), 50, InetAddress.getByName(address[0]))) {
            socket.setSoTimeout(MAX_LIFETIME_MILLIS);
            for (long requests = 1; ; requests++) {
                respond(socket.accept(), behavior, requests);
            }
        }
    }

    private static void respond(Socket client, String behavior, long requests) throws IOException {
        try (client) {
            byte[] line = new byte[6];
            client.getInputStream().readNBytes(line, 0, 6);
            StringBuilder out = new StringBuilder();
            if (line[0] == 'R') {
                out.append(
                        behavior.equals("never ready") ? "FAILURE starting\n" : "SUCCESS ready\n");
            } else {
                out.append("SUCCESS\n");
                for (String name : new String[] {"handled.a.passed", "tries.a", "times.a.7"}) {
                    out.append("app.")
                            .append(name)
                            .append(':')
                            .append(requests * 500)
                            .append("|c\n");
                }
                for (String name :
                        new String[] {
                            "handled.a.late", "handled.a.dropped", "handled.a.bad_gateway"
                        }) {
                    out.append("app.").append(name).append(":0|c\n");
                }
                for (int i = 0; i < 16; i++) {
                    out.append(i == 7 ? "" : "app.times.a." + i + ":0|c\n");
                }
                out.append("EOT\n");
            }
            OutputStream response = client.getOutputStream();
            response.write(out.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }
}
