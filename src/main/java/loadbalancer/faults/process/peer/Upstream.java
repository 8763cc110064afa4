package loadbalancer.faults.process.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.faults.process.check.Ran;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;

/**
 * A stand-in for an upstream: works at its pace, remembers keys, is cold after a start, reports its
 * load, and writes down what it ran. It may die and come back at its address.
 */
public final class Upstream implements AutoCloseable {
    /** What the rig asks itself, to see whether the stand-in works; it is written down nowhere. */
    public static final String PROBE = "/rig";

    private final String id;
    private final InetSocketAddress address;
    private final EvidenceLog log;
    private final Semaphore workers;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Map<String, Boolean> keys;
    private volatile Pace pace;
    private volatile int failOneIn;
    private volatile long startedMs;
    private volatile long wallClockOffMs;
    private volatile long startedAt;
    private final AtomicInteger requests = new AtomicInteger();
    private Server server;

    /** Starts one, warm. */
    public Upstream(String id, InetSocketAddress address, Pace pace, EvidenceLog log)
            throws IOException {
        this.id = id;
        this.address = address;
        this.pace = pace;
        this.log = log;
        this.workers = new Semaphore(pace.workers(), true);
        this.keys =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > Upstream.this.pace.memory();
                    }
                };
        this.startedAt = RealTime.micros() - pace.coldMs() * 1_000;
        this.server = new Server(address, this::work);
    }

    /** As discovery names it. */
    public String id() {
        return id;
    }

    /** When it last started, in Unix time in milliseconds; 0 for long ago. */
    public long startedMs() {
        return startedMs;
    }

    /** Its wall clock is off by so much from now on: it shows in the time of its next start. */
    public void wallClockOff(long ms) {
        wallClockOffMs = ms;
    }

    /** Works at another pace from now on, with as many workers as before. */
    public void pace(Pace next) {
        pace = next;
    }

    /** Its pace. */
    public Pace pace() {
        return pace;
    }

    /** Answers 500 to one request in so many, after the work; 0 to none. */
    public void failOneIn(int requests) {
        failOneIn = requests;
    }

    /** Ends with all its connections; connecting is refused from now on. */
    public synchronized void die() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /** Comes back, cold and without any key. */
    public synchronized void start() throws IOException {
        if (server == null) {
            synchronized (keys) {
                keys.clear();
            }
            startedMs = RealTime.wallMillis() + wallClockOffMs;
            startedAt = RealTime.micros();
            server = new Server(address, this::work);
        }
    }

    private void work(Message request, Socket socket) throws Exception {
        if (request.start().startsWith("GET " + PROBE)) {
            Sockets.answer(socket, "200 OK", "", id);
            return;
        }
        String name = request.headers().getOrDefault("x-correlation-id", "");
        String key = key(request.start());
        if (waiting.get() >= pace.queue()) {
            log.note(new Ran(name, id, key, RealTime.micros(), true, told(request)));
            Sockets.answer(socket, "503 Service Unavailable", "X-Unprocessed: 1\r\n" + load(), "");
            return;
        }
        log.note(new Ran(name, id, key, RealTime.micros(), false, told(request)));
        waiting.incrementAndGet();
        workers.acquire();
        waiting.decrementAndGet();
        inFlight.incrementAndGet();
        try {
            Thread.sleep(time(key));
        } finally {
            inFlight.decrementAndGet();
            workers.release();
        }
        if (failOneIn > 0 && requests.incrementAndGet() % failOneIn == 0) {
            Sockets.answer(socket, "500 Oops", load(), "");
        } else {
            Sockets.answer(socket, "200 OK", load(), "answer to " + name + " by " + id);
        }
    }

    private long time(String key) {
        boolean known;
        synchronized (keys) {
            known = keys.put(key, true) != null;
        }
        Pace now = pace;
        boolean cold = RealTime.micros() - startedAt < now.coldMs() * 1_000;
        return Math.round(
                now.workMs() * (known ? now.knownShare() : 1) * (cold ? now.coldFactor() : 1));
    }

    private String load() {
        return String.format(
                Locale.ROOT,
                "X-Backend-Load: active=%d,waiting=%d,cpu=%.2f\r\n",
                inFlight.get(),
                waiting.get(),
                Math.min(1, inFlight.get() / (double) pace.workers()));
    }

    private static long told(Message request) {
        String told = request.headers().get("x-time-left-ms");
        return told == null ? Ran.UNTOLD : Long.parseLong(told);
    }

    private static String key(String start) {
        int from = start.indexOf("key=") + 4;
        return from < 4 ? "" : start.substring(from, start.indexOf(' ', from));
    }

    @Override
    public void close() {
        die();
    }
}
