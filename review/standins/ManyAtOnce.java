import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Beside usual clients, bad ones connect and send many requests at once, each with a body below 64
 * KiB, and read what is sent to them. Usual clients check that each request gets an answer.
 */
public final class ManyAtOnce implements Scenario {
    private static final int UPSTREAMS = 4;
    private static final int USUAL_CLIENTS = 20;
    private static final int BAD_CLIENTS = 150;
    private static final int REQUESTS_AT_ONCE = 200;
    private static final int BODY_BYTES = 64_000;
    private static final long WORK_MILLIS = 150;
    private static final int CALM_SECONDS = 3;
    private static final int TROUBLE_SECONDS = 15;

    /** The deadline of 5 s, half a second, and the 50 ms that the page adds to each limit. */
    private static final int LAST_ANSWER_MILLIS = 5_550;

    private Record record;
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answersToBad = new AtomicInteger();
    private volatile boolean stopping;

    public static void main(String[] args) {
        Scenario.run(args, new ManyAtOnce());
    }

    @Override
    public int play(Path root, Path folder, Record theRecord, boolean hasTrouble) throws Exception {
        record = theRecord;
        Discovery discovery = new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "u" + i;
            Server upstream = new Server(0, (socket, in) -> upstream(id, socket, in));
            discovery.put(id, upstream.address(), i % 2 == 0 ? "sala-nord" : "sala-sud", "Ready");
        }
        String listen = "127.0.0.1:" + Balancer.freePort();
        String ops = "127.0.0.1:" + Balancer.freePort();
        String config =
                Balancer.config(
                        listen, discovery.address(), ops, 1024, List.of(Balancer.LOOKUP, Balancer.PUSH));
        try (Balancer balancer = Balancer.start(root, folder, "n1", listen, config, Map.of())) {
            if (!balancer.awaitReady(30_000)) {
                record.say("the balancer is not ready: %s", balancer.log());
                return 2;
            }
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                Server.start("usual", () -> usualClient(listen, balancer.process()));
            }
            Discovery.pause(CALM_SECONDS * 1_000);
            if (served.get() == 0) {
                record.say("nothing is served before the disruption");
                return 2;
            }
            if (hasTrouble) {
                record.note("%d bad clients connect and send", BAD_CLIENTS);
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Server.start("bad", () -> badClient(listen));
                }
            }
            for (int i = 0; i < TROUBLE_SECONDS * 10 && balancer.process().isAlive(); i++) {
                Discovery.pause(100);
            }
            boolean alive = balancer.process().isAlive();
            Discovery.pause(1_000);
            stopping = true;
            if (alive) {
                Discovery.pause(LAST_ANSWER_MILLIS);
            }
            record.say(
                    "usual clients: %d served, %d not served, %d lost; bad clients got %d answers",
                    served.get(), notServed.get(), lost.get(), answersToBad.get());
            record.say(alive ? "the process runs" : "the process has ended with code %s",
                    alive ? "" : balancer.process().exitValue());
            record.note("its log:%n%s", balancer.log());
            return alive && lost.get() == 0 ? 0 : 1;
        }
    }

    private void upstream(String id, Socket socket, InputStream in) throws Exception {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String name = request.header("X-Correlation-Id");
            record.note("%s ran %s", id, name);
            Thread.sleep(WORK_MILLIS);
            byte[] answer =
                    Http.answer("200 OK", "X-Backend-Load: cpu=0.30,rps=30\r\n", "answer to " + name);
            socket.getOutputStream().write(answer);
        }
    }

    /** Sends one request at a time, on a kept connection while it lasts. */
    private void usualClient(String listen, Process balancer) {
        Socket kept = null;
        while (!stopping) {
            String name = "usual-" + number.incrementAndGet();
            try {
                Socket socket = kept == null ? Balancer.connect(listen) : kept;
                boolean wasKept = kept != null;
                kept = null;
                Http.Message answer = ask(socket, name);
                if (answer == null && wasKept && goesOn(balancer)) {
                    // The close of a kept connection may cross a request, which is sent once more.
                    record.note("%s: its kept connection was closed, sent once more", name);
                    socket = Balancer.connect(listen);
                    answer = ask(socket, name);
                }
                if (answer == null) {
                    record.note("%s: LOST", name);
                    lost.incrementAndGet();
                } else {
                    record.note("%s: %d", name, answer.status());
                    (answer.status() == 200 ? served : notServed).incrementAndGet();
                    kept = answer.keepsAlive() ? socket : null;
                }
                if (kept == null) {
                    socket.close();
                }
                Discovery.pause(30);
            } catch (IOException e) {
                record.note("%s: not sent, %s", name, e);
                Discovery.pause(200);
            }
        }
    }

    /** Whether the process goes on, which shows a moment after it has closed a connection. */
    private static boolean goesOn(Process balancer) {
        Discovery.pause(500);
        return balancer.isAlive();
    }

    /**
     * Sends a request; null if it gets no answer half a second after its time at the latest.
     *
     * @throws IOException if the request was not sent whole
     */
    private Http.Message ask(Socket socket, String name) throws IOException {
        String head =
                "GET /disponibilita?key=" + name + " HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\n"
                        + "X-Service-Class: disponibilita\r\nX-Correlation-Id: " + name
                        + "\r\nX-Time-Left-Ms: 5000\r\n\r\n";
        socket.setSoTimeout(LAST_ANSWER_MILLIS);
        socket.getOutputStream().write(Http.ascii(head));
        try {
            return Http.read(Http.buffered(socket.getInputStream()));
        } catch (IOException e) {
            record.note("%s: %s", name, e);
            return null;
        }
    }

    private void badClient(String listen) {
        try (Socket socket = Balancer.connect(listen)) {
            OutputStream out = socket.getOutputStream();
            Server.start("bad writer", () -> sendAll(out));
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message answer = Http.read(in); answer != null; answer = Http.read(in)) {
                answersToBad.incrementAndGet();
            }
        } catch (IOException e) {
            record.note("a bad client: %s", e);
        }
    }

    private void sendAll(OutputStream out) {
        byte[] body = new byte[BODY_BYTES];
        try {
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                String name = "bad-" + number.incrementAndGet();
                String head =
                        "POST /prenotazione?key=" + name + " HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\n"
                                + "X-Service-Class: prenotazione\r\nIdempotency-Key: " + name
                                + "\r\nX-Correlation-Id: " + name + "\r\nX-Time-Left-Ms: 2000\r\nContent-Length: "
                                + BODY_BYTES + "\r\n\r\n";
                out.write(Http.ascii(head));
                out.write(body);
            }
        } catch (IOException e) {
            // the balancer has ended the connection, as it may
        }
    }
}
