import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that each keep one connection, send one request at a time on it and rest in between. One
 * whose connection was closed between two requests sends its request once more on a new one.
 */
final class Clients {
    private static final int KEYS = 1_000;

    private final Rig rig;
    private final String balancer;
    private final String requestClass;
    private final int minRestMillis;
    private final int maxRestMillis;
    private final AtomicInteger numbers = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger others = new AtomicInteger();
    private volatile boolean isRunning = true;

    Clients(Rig rig, String balancer, int count, int minRestMillis, int maxRestMillis) {
        this(rig, balancer, count, minRestMillis, maxRestMillis, "lookup");
    }

    Clients(
            Rig rig,
            String balancer,
            int count,
            int minRestMillis,
            int maxRestMillis,
            String requestClass) {
        this.rig = rig;
        this.requestClass = requestClass;
        this.balancer = balancer;
        this.minRestMillis = minRestMillis;
        this.maxRestMillis = maxRestMillis;
        for (int client = 0; client < count; client++) {
            int number = client;
            Server.daemon(() -> live(number));
        }
    }

    void stop() {
        isRunning = false;
    }

    private void live(int client) {
        SplittableRandom random = new SplittableRandom(client * 7_919L + System.nanoTime());
        Socket socket = null;
        InputStream in = null;
        Rig.pause(random.nextInt(maxRestMillis)); // so that they do not all send at once
        while (isRunning) {
            Rig.pause(random.nextInt(minRestMillis, maxRestMillis));
            String id = String.format("%s%02d-%06d-%d", requestClass.substring(0, 1), client, numbers.incrementAndGet(), rig.now());
            for (int attempt = 0; attempt < 2; attempt++) {
                try {
                    boolean isNew = socket == null;
                    if (isNew) {
                        socket = new Socket();
                        socket.setTcpNoDelay(true);
                        socket.connect(Rig.address(balancer), 1_000);
                        socket.setSoTimeout(7_000);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    rig.detail(
                            rig.now(),
                            "client sends "
                                    + id
                                    + (isNew ? " on a new connection" : " on a kept connection"));
                    socket.getOutputStream().write(request(id, random.nextInt(KEYS)));
                    Rig.Answer answer = Rig.answer(in);
                    rig.detail(rig.now(), "client got " + answer.status() + " for " + id);
                    (answer.status() == 200 && answer.body().equals(id) ? served : others)
                            .incrementAndGet();
                    if (answer.closes()) {
                        socket.close();
                        socket = null;
                    }
                    break;
                } catch (IOException e) {
                    rig.detail(rig.now(), "client has no answer for " + id + ": " + e);
                    close(socket);
                    socket = null;
                }
            }
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            return;
        }
    }

    private byte[] request(String id, int key) {
        return ("GET /"
                        + requestClass
                        + "?key=k"
                        + key
                        + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
                        + id
                        + "\r\nX-Service-Class: "
                        + requestClass
                        + "\r\nX-Account: someone"
                        + "\r\nX-Time-Left-Ms: 5000\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
