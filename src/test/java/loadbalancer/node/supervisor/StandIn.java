package loadbalancer.node.supervisor;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/** Plays a balancer: a door that says what the file {@code fate} beside its jar lets it say. */
public final class StandIn {
    /** No process outlives its test for long, however that ends. */
    private static final int LIFE_MS = 120_000;

    private StandIn() {}

    /** Serves at the door in {@code NODE_OPS} until it is ended. */
    public static void main(String[] args) throws Exception {
        Path jar =
                Path.of(StandIn.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        String fate = Files.readString(jar.resolveSibling("fate"));
        if (fate.equals("crashes")) {
            System.exit(3);
        }
        String[] door = System.getenv("NODE_OPS").split(":");
        try (ServerSocket socket =
                new ServerSocket(Integer.parseInt(door[1]), 50, InetAddress.getByName(door[0]))) {
            socket.setSoTimeout(LIFE_MS);
            for (long calls = 1; ; calls++) {
                answer(socket.accept(), fate, calls);
            }
        }
    }

    private static void answer(Socket call, String fate, long calls) throws IOException {
        try (call) {
            byte[] line = new byte[6];
            call.getInputStream().readNBytes(line, 0, 6);
            StringBuilder out = new StringBuilder();
            if (line[0] == 'R') {
                out.append(fate.equals("never") ? "FAILURE starting\n" : "SUCCESS ready\n");
            } else {
                out.append("SUCCESS\n");
                for (String f : new String[] {"handled.a.passed", "tries.a", "times.a.7"}) {
                    out.append("app.").append(f).append(':').append(calls * 500).append("|c\n");
                }
                for (String f :
                        new String[] {
                            "handled.a.late", "handled.a.dropped", "handled.a.bad_gateway"
                        }) {
                    out.append("app.").append(f).append(":0|c\n");
                }
                for (int i = 0; i < 16; i++) {
                    out.append(i == 7 ? "" : "app.times.a." + i + ":0|c\n");
                }
                out.append("EOT\n");
            }
            OutputStream answer = call.getOutputStream();
            answer.write(out.toString().getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
    }
}
