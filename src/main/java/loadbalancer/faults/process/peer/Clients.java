package loadbalancer.faults.process.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import loadbalancer.faults.process.check.Ask;
import loadbalancer.faults.process.check.Ask.End;
import loadbalancer.faults.process.check.Effect;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;

/**
 * Clients that ask at times of their own, whatever becomes of earlier requests, and write down
 * every answer. They keep connections and open more when all are busy.
 */
public final class Clients implements AutoCloseable {
    /** How much longer than its time a client stays, so that a late answer is told from none. */
    private static final int STAY_MS = 30_000;

    /** So many at a time are more than the rig can be expected to play. */
    private static final int MOST = 2_000;

    private static final int KEYS = 40;

    /** What becomes of a request once it is sent. */
    private enum Manner {
        /** Its client waits for the answer. */
        WAITS,
        /** Its client closes the connection before long. */
        LEAVES,
        /** Its client writes a part of it and stays. */
        HALF
    }

    /** The longest that one who leaves stays, in milliseconds. */
    private static final int LEAVES_WITHIN = 300;

    /**
     * A client that stops half way is owed an error or a close within 3 s; it waits for that so
     * long.
     */
    private static final int HALF_WAITS_MS = 8_000;

    private final List<InetSocketAddress> balancers;
    private final EvidenceLog log;
    private final RandomGenerator random;
    private final double perSecond;
    private final int longest;
    private final List<Deque<Client>> idle = new ArrayList<>();
    private final AtomicInteger open = new AtomicInteger();
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "client");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Thread arrivals = new Thread(this::arrive, "arrivals");
    private volatile boolean stopped;
    private volatile boolean overrun;
    private volatile double unruly;
    private int count;

    /**
     * Begins with that many requests a second over all balancers, at times drawn as Poisson's.
     *
     * @param longestMs the longest that a client waits; the shortest is half of it
     */
    public Clients(
            List<InetSocketAddress> balancers,
            double perSecond,
            int longestMs,
            RandomGenerator random,
            EvidenceLog log) {
        this.longest = longestMs;
        this.balancers = balancers;
        this.perSecond = perSecond;
        this.random = random;
        this.log = log;
        balancers.forEach(b -> idle.add(new ConcurrentLinkedDeque<>()));
        arrivals.setDaemon(true);
        arrivals.start();
    }

    /** A request before it is sent. */
    private record Wish(
            String id, int balancer, Effect effect, String key, int timeLeftMs, Manner manner) {
        String text() {
            String name =
                    switch (effect) {
                        case SAFE -> "lookup";
                        case KEYED -> "push";
                        case UNSAFE -> "once";
                    };
            boolean safe = effect == Effect.SAFE;
            return (safe ? "GET /" : "POST /")
                    + name
                    + "?key="
                    + key
                    + " HTTP/1.1\r\nHost: app\r\n"
                    + "X-Correlation-Id: "
                    + id
                    + "\r\nX-Service-Class: "
                    + name
                    + "\r\nX-Account: acme\r\n"
                    + "X-Time-Left-Ms: "
                    + timeLeftMs
                    + "\r\n"
                    + (effect == Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "")
                    + (safe ? "\r\n" : "Content-Length: 8\r\n\r\n8 bytes.");
        }
    }

    private void arrive() {
        long next = RealTime.micros();
        try {
            while (!stopped) {
                next += Math.round(-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
                long wait = next - RealTime.micros();
                if (wait > 0) {
                    TimeUnit.MICROSECONDS.sleep(wait);
                }
                Wish wish = wish();
                if (open.get() >= MOST) {
                    overrun = true;
                    return;
                }
                open.incrementAndGet();
                threads.execute(
                        () -> {
                            try {
                                ask(wish, true);
                            } finally {
                                open.decrementAndGet();
                            }
                        });
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    private Wish wish() {
        int balancer = random.nextInt(balancers.size());
        int draw = random.nextInt(10);
        Effect effect = draw < 6 ? Effect.SAFE : draw < 9 ? Effect.KEYED : Effect.UNSAFE;
        // Squared: some keys are asked for much more than others.
        double at = random.nextDouble();
        String key = "k" + (int) (at * at * KEYS);
        Manner manner =
                random.nextDouble() >= unruly
                        ? Manner.WAITS
                        : random.nextInt(4) == 0 ? Manner.HALF : Manner.LEAVES;
        int timeLeft = longest / 2 + random.nextInt(longest / 2);
        return new Wish("b" + balancer + "-" + count++, balancer, effect, key, timeLeft, manner);
    }

    private void ask(Wish wish, boolean mayKeep) {
        Client connection = mayKeep ? idle.get(wish.balancer()).poll() : null;
        boolean kept = connection != null;
        long sentAt = RealTime.micros();
        try {
            if (!kept) {
                connection =
                        new Client(balancers.get(wish.balancer()), wish.timeLeftMs() + STAY_MS);
            }
        } catch (IOException e) {
            note(wish, sentAt, false, End.NOT_TAKEN, 0, "");
            return;
        }
        try {
            if (connection.hasMore()) {
                note(wish, sentAt, kept, End.GARBLED, 0, "bytes that nobody asked for");
                connection.close();
                return;
            }
            if (wish.manner() != Manner.WAITS) {
                behave(wish, connection, kept);
                connection.close();
                return;
            }
            connection.write(wish.text());
            sentAt = RealTime.micros();
            Message answer = connection.read();
            if (answer != null) {
                note(wish, sentAt, kept, End.ANSWERED, answer.status(), answer.body());
                if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
                    connection.close();
                } else {
                    idle.get(wish.balancer()).push(connection);
                }
                return;
            }
            closed(wish, sentAt, kept);
        } catch (SocketTimeoutException e) {
            note(wish, sentAt, kept, End.SILENT, 0, "");
        } catch (IOException e) {
            closed(wish, sentAt, kept);
        }
        close(connection);
    }

    private void behave(Wish wish, Client connection, boolean kept) throws IOException {
        String text = wish.text();
        boolean half = wish.manner() == Manner.HALF;
        connection.write(half ? text.substring(0, text.length() / 2) : text);
        long sentAt = RealTime.micros();
        connection.socket.setSoTimeout(
                half ? HALF_WAITS_MS : 1 + Math.floorMod(wish.id().hashCode(), LEAVES_WITHIN));
        try {
            Message answer = connection.read();
            if (half) {
                note(wish, sentAt, kept, End.HALF_ENDED, answer == null ? 0 : answer.status(), "");
            } else if (answer != null) {
                note(wish, sentAt, kept, End.ANSWERED, answer.status(), answer.body());
            } else {
                closed(wish, sentAt, kept);
            }
        } catch (SocketTimeoutException e) {
            connection.close();
            note(wish, sentAt, kept, half ? End.HALF_KEPT : End.LEFT, 0, "");
        }
    }

    /**
     * What crossed the closing of a kept connection is sent once more, under a number of its own.
     */
    private void closed(Wish wish, long sentAt, boolean kept) {
        note(wish, sentAt, kept, End.CLOSED, 0, "");
        if (kept) {
            ask(
                    new Wish(
                            wish.id() + Ask.AGAIN,
                            wish.balancer(),
                            wish.effect(),
                            wish.key(),
                            wish.timeLeftMs(),
                            Manner.WAITS),
                    false);
        }
    }

    private void note(Wish wish, long sentAt, boolean kept, End end, int status, String body) {
        log.note(
                new Ask(
                        wish.id(),
                        wish.balancer(),
                        wish.effect(),
                        wish.key(),
                        sentAt,
                        wish.timeLeftMs() * 1_000L,
                        kept,
                        end,
                        RealTime.micros(),
                        status,
                        body));
    }

    private static void close(Client connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // gone already
        }
    }

    /** From now on that share of clients leaves before the answer, or stops half way. */
    public void unruly(double share) {
        unruly = share;
    }

    /** Requests that have not ended. */
    public int open() {
        return open.get();
    }

    /** Whether there were more at a time than can be played. */
    public boolean overrun() {
        return overrun;
    }

    /** No more requests from now on; those that are open go on. */
    public void stop() {
        stopped = true;
    }

    /** Closes the connections that are kept, too. */
    public void leave() {
        stop();
        idle.forEach(all -> all.forEach(Clients::close));
    }

    @Override
    public void close() {
        leave();
        arrivals.interrupt();
        threads.shutdownNow();
    }
}
