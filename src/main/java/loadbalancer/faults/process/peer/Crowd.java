package loadbalancer.faults.process.peer;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that take up room at a balancer until they are closed: each third of them says
 * nothing, sends half a head, or sends half of a large body.
 */
public final class Crowd implements AutoCloseable {
    private static final int PATIENCE_MS = 2_000;

    private static final String HEAD =
            "POST /push?key=crowd HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: crowd";

    private static final String BODY =
            "\r\nX-Service-Class: push\r\nX-Account: acme\r\nX-Time-Left-Ms: 1000\r\n"
                    + "Idempotency-Key: crowd\r\nContent-Length: 100000\r\n\r\n"
                    + "x".repeat(30_000);

    private final List<Sockets.Client> clients = new ArrayList<>();

    /** Connects so many; those that find no place are left out. */
    public Crowd(SocketAddress to, int connections) {
        for (int i = 0; i < connections; i++) {
            try {
                Sockets.Client client = new Sockets.Client(to, PATIENCE_MS);
                clients.add(client);
                client.write(text(i));
            } catch (IOException e) {
                // refused or closed, as a crowd may be
            }
        }
    }

    private static String text(int number) {
        return switch (number % 3) {
            case 0 -> "";
            case 1 -> HEAD;
            default -> HEAD + "-" + number + BODY;
        };
    }

    @Override
    public void close() {
        for (Sockets.Client client : clients) {
            try {
                client.close();
            } catch (IOException e) {
                // closed all the same
            }
        }
    }
}
