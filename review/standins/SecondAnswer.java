import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Upstreams send some answers a second time, some milliseconds later, on a connection on which no
 * further request has arrived. Clients check that each 200 has the body made for their request.
 */
public final class SecondAnswer implements Scenario {
    private static final int UPSTREAMS = 9;
    private static final int ONE_IN = 20;
    private static final long LATE_MICROS = 4_000;

    /** One way, in the balancer's own zone and between the two. */
    private static final long SAME_ZONE_MICROS = 300;

    private static final long CROSS_ZONE_MICROS = 1_000;
    private static final int PER_SECOND = 200;
    private static final long SECONDS = 45;

    private Record record;
    private boolean hasTrouble;
    private final AtomicInteger seconds = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final Deque<Socket> idle = new ConcurrentLinkedDeque<>();

    public static void main(String[] args) {
        Scenario.run(args, new SecondAnswer());
    }

    @Override
    public int play(Path root, Path folder, Record theRecord, boolean isTroubled) throws Exception {
        record = theRecord;
        hasTrouble = isTroubled;
        Discovery discovery = new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "u" + i;
            Server upstream = new Server(0, (socket, in) -> upstream(id, socket, in));
            boolean isNear = i % 2 == 0;
            Relay relay = new Relay(upstream.address(), isNear ? SAME_ZONE_MICROS : CROSS_ZONE_MICROS);
            discovery.put(id, relay.address(), isNear ? "sala-nord" : "sala-sud", "Ready");
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
            clients(listen);
            boolean alive = balancer.process().isAlive();
            record.say(
                    "second answers sent %d, served %d, not served %d, served with a foreign answer %d, alive %s",
                    seconds.get(), served.get(), other.get(), foreign.get(), alive);
            record.note("the balancer's log:%n%s", balancer.log());
            if (served.get() < PER_SECOND * SECONDS / 2) {
                record.say("too few were served to judge");
                return 2;
            }
        }
        return foreign.get() > 0 ? 1 : 0;
    }

    private void upstream(String id, Socket socket, InputStream in) throws Exception {
        Random random = new Random();
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String name = request.header("X-Correlation-Id");
            record.note("%s ran %s", id, name);
            Thread.sleep(20 + random.nextInt(40));
            byte[] answer =
                    Http.answer("200 OK", "X-Backend-Load: cpu=0.30,rps=30\r\n", "answer to " + name);
            socket.getOutputStream().write(answer);
            if (hasTrouble && random.nextInt(ONE_IN) == 0) {
                LockSupport.parkNanos(LATE_MICROS * 1_000);
                if (in.available() == 0) {
                    socket.getOutputStream().write(answer);
                    seconds.incrementAndGet();
                    record.note("%s sent a second answer to %s", id, name);
                }
            }
        }
    }

    private void clients(String listen) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        Random random = new Random(7);
        long start = System.nanoTime();
        double due = 0;
        for (int i = 0; due < SECONDS; i++) {
            due += -Math.log(1 - random.nextDouble()) / PER_SECOND;
            long at = start + (long) (due * 1e9);
            for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            String name = String.format("r%06d-%08x", i, random.nextInt());
            boolean push = random.nextInt(100) < 22;
            threads.execute(() -> ask(listen, name, push));
        }
        Thread.sleep(6_000);
        threads.shutdownNow();
    }

    private void ask(String listen, String name, boolean push) {
        try {
            Socket kept = idle.pollFirst();
            if (kept == null || !ask(kept, name, push)) {
                // The balancer may close a connection between requests; the request is sent once more.
                if (!ask(Balancer.connect(listen), name, push)) {
                    other.incrementAndGet();
                    record.note("client of %s: a new connection ended", name);
                }
            }
        } catch (Exception e) {
            other.incrementAndGet();
            record.note("client of %s: %s", name, e);
        }
    }

    /** Sends a request and reads its answer; false if the connection ends without one. */
    private boolean ask(Socket socket, String name, boolean push) throws Exception {
        socket.setSoTimeout(6_000);
        String head =
                push
                        ? "POST /prenotazione?key=k" + name + " HTTP/1.1\r\nX-Service-Class: prenotazione\r\n"
                                + "Idempotency-Key: " + name + "\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 4\r\n"
                        : "GET /disponibilita?key=k" + name + " HTTP/1.1\r\nX-Service-Class: disponibilita\r\n"
                                + "X-Time-Left-Ms: 5000\r\n";
        String text =
                head + "Host: app.svc\r\nX-Account: acme\r\nX-Correlation-Id: " + name + "\r\n\r\n"
                        + (push ? "body" : "");
        socket.getOutputStream().write(Http.ascii(text));
        Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
        if (answer == null) {
            socket.close();
            return false;
        }
        judge(name, push, answer);
        if (answer.keepsAlive()) {
            idle.addFirst(socket);
        } else {
            socket.close();
        }
        return true;
    }

    private void judge(String name, boolean push, Http.Message answer) {
        if (answer.status() != 200) {
            other.incrementAndGet();
            record.note("client of %s: %d", name, answer.status());
        } else if (answer.text().equals("answer to " + name)) {
            served.incrementAndGet();
        } else {
            foreign.incrementAndGet();
            record.note(
                    "FOREIGN client of %s (%s) was served <%s>", name, push ? "push" : "lookup", answer.text());
        }
    }
}
