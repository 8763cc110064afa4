package loadbalancer.faults;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** A scripted upstream: serves, and fails in the ways that are switched on at the time. */
final class Upstream implements VirtualNetwork.Listener {
    private static final long SERVICE = 30_000;

    /**
     * What comes from a connection that rests: nothing that could be taken for the answer to a
     * request.
     */
    private static final String[] NOISE = {
        "HTT",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "\r\n",
        "\u0000\u0001\r\n\r\n",
        "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    };

    private static final int LONGEST_REST = 300_000;

    final int index;
    final int zone;
    final InetSocketAddress address;
    final Host host;
    String id;
    long startedMs;
    boolean alive = true;
    boolean draining;
    boolean queueFull;

    /** What it does with a request instead of all else; null for the usual. */
    Script script;

    private final VirtualWorld world;
    private final UniformRandomProvider random;

    /** For each way to fail the share of the requests that it strikes. */
    private final Map<Fault.Kind, Double> troubles = new EnumMap<>(Fault.Kind.class);

    private int life;

    Upstream(VirtualWorld world, int index, UniformRandomProvider random) {
        this.world = world;
        this.index = index;
        this.random = random;
        zone = index % 2;
        id = "u" + index;
        host = new Host(id);
        address = VirtualWorld.address(2, index + 1, 8080);
        world.network.listen(host, address, this);
    }

    /** Says how an upstream treats its requests. */
    interface Script {
        /** The answer to a request, and how many microseconds later it comes. */
        Reply to(String request);
    }

    /** An answer and when it is sent. */
    record Reply(String text, long after) {}

    void trouble(Fault.Kind kind, double share) {
        if (share == 0) {
            troubles.remove(kind);
        } else {
            troubles.put(kind, share);
        }
    }

    void die() {
        if (alive) {
            alive = false;
            life++;
            world.network.unlisten(address, this);
            world.network.breakAll(host);
        }
    }

    void startAgain(String as) {
        if (!alive) {
            alive = true;
            draining = false;
            id = as;
            startedMs = VirtualTransport.EPOCH_MS + world.timeline.micros() / 1_000;
            world.network.listen(host, address, this);
        }
    }

    @Override
    public boolean hasRoom() {
        return !queueFull;
    }

    @Override
    public void accept(End end) {
        end.owner(new Connection(end));
    }

    private boolean strikes(Fault.Kind kind) {
        Double share = troubles.get(kind);
        return share != null && random.nextDouble() < share;
    }

    /** One connection of the balancer to here. */
    private final class Connection implements End.Owner {
        private final End end;
        private final Message.Reader reader = new Message.Reader();
        private final int mine = life;
        private long begunAt = -1;
        private boolean gone;

        /** Requests that have begun and are not answered. */
        private int open;

        Connection(End end) {
            this.end = end;
        }

        @Override
        public void readable() {
            byte[] bytes = end.take(Integer.MAX_VALUE);
            if (mine != life) {
                return;
            }
            if (begunAt < 0 && bytes.length > 0) {
                begunAt = world.timeline.micros();
                open++;
                world.oracle.begins(id);
            }
            for (Message request : reader.add(bytes)) {
                take(request);
                begunAt = -1;
            }
        }

        private void take(Message request) {
            String name = request.header("x-correlation-id");
            world.trace(id + " got " + name);
            Oracle.Run run = world.oracle.ran(name, id, begunAt);
            if (script != null) {
                Reply r = script.to(name);
                new Message.Reader()
                        .add(r.text().getBytes(StandardCharsets.ISO_8859_1))
                        .forEach(m -> world.oracle.made(name, m.body()));
                reply(r.text(), r.after());
            } else if (strikes(Fault.Kind.FULL) || draining && random.nextDouble() < 0.5) {
                run.never = true;
                reply("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 1_000);
            } else if (strikes(Fault.Kind.HANG)) {
                world.trace(id + " says nothing to " + name);
            } else if (strikes(Fault.Kind.BREAK)) {
                world.timeline.in(random.nextInt(20_000), end::breakOff);
            } else {
                answer(name, SERVICE / 2 + random.nextLong(SERVICE));
            }
        }

        private void answer(String request, long after) {
            StringBuilder body = new StringBuilder("answer to " + request + " from " + id + " ");
            int filler = random.nextInt(10) == 0 ? 100_000 : random.nextInt(300);
            body.append("x".repeat(filler));
            String load = "X-Backend-Load: cpu=0." + random.nextInt(10) + "\r\n";
            String framed =
                    random.nextBoolean()
                            ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                            : "Transfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(body.length())
                                    + "\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n";
            String answer = "HTTP/1.1 200 OK\r\n" + load + framed;
            if (strikes(Fault.Kind.UNFRAMED)) {
                world.oracle.made(request, body.toString());
                ends = end::close;
                reply(unframed(load, body), after);
                return;
            }
            if (strikes(Fault.Kind.UNFRAMED_RESET)) {
                resetOnTheWay(unframed(load, body), after);
                return;
            }
            if (strikes(Fault.Kind.ERRORS)) {
                reply("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", after);
            } else if (strikes(Fault.Kind.SPOILT)) {
                reply("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nspoil", after);
            } else if (strikes(Fault.Kind.BREAK_MID)) {
                reply(answer.substring(0, 1 + random.nextInt(answer.length() - 1)), after);
                world.timeline.in(after + 1_000, end::breakOff);
            } else if (strikes(Fault.Kind.TWICE)) {
                world.oracle.made(request, body.toString());
                reply(answer + answer, after);
            } else {
                world.oracle.made(request, body.toString());
                reply(
                        (strikes(Fault.Kind.INTERIM)
                                        ? "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
                                        : "")
                                + answer,
                        after);
            }
        }

        /**
         * Neither length nor chunks: its end is that of the connection, whether or not it says so.
         */
        private String unframed(String load, StringBuilder body) {
            return "HTTP/1.1 200 OK\r\n"
                    + load
                    + (random.nextBoolean() ? "Connection: close\r\n" : "")
                    + "\r\n"
                    + body;
        }

        /**
         * Anywhere behind the head, and in one of three times behind all of it: the reset is no
         * end.
         */
        private void resetOnTheWay(String answer, long after) {
            int head = answer.indexOf("\r\n\r\n") + 4;
            int length =
                    random.nextInt(3) == 0
                            ? answer.length()
                            : head + random.nextInt(answer.length() - head);
            long pause = random.nextInt(3) * (long) random.nextInt(20_000);
            ends = () -> world.timeline.in(pause, end::breakOff);
            reply(answer.substring(0, length), after);
        }

        /** All is answered: from now on the connection rests. */
        private void rests() {
            open = 0;
            if (ends != null) {
                ends.run();
                ends = null;
                return;
            }
            if (strikes(Fault.Kind.NOISE)) {
                String noise = NOISE[random.nextInt(NOISE.length)];
                boolean closes = random.nextBoolean();
                whileResting(
                        () -> {
                            end.send(noise.getBytes(StandardCharsets.ISO_8859_1));
                            if (closes) {
                                end.close();
                            }
                        });
            }
            if (strikes(Fault.Kind.IDLE_CLOSE)) {
                whileResting(end::close);
            }
        }

        private void whileResting(Runnable what) {
            world.timeline.in(
                    random.nextInt(LONGEST_REST),
                    () -> {
                        if (mine == life && !gone && !end.isClosed() && open == 0) {
                            what.run();
                        }
                    });
        }

        /** How the connection ends behind the answer under way; null if it goes on. */
        private Runnable ends;

        private final List<byte[]> unsent = new ArrayList<>();

        private void reply(String text, long after) {
            world.timeline.in(
                    after,
                    () -> {
                        if (mine == life && !gone) {
                            unsent.add(text.getBytes(StandardCharsets.ISO_8859_1));
                            writable();
                        }
                    });
        }

        @Override
        public void writable() {
            while (!unsent.isEmpty() && !end.isClosed()) {
                byte[] bytes = unsent.get(0);
                int room = Math.min(bytes.length, end.room());
                if (room == 0) {
                    return;
                }
                end.send(java.util.Arrays.copyOf(bytes, room));
                unsent.remove(0);
                if (room < bytes.length) {
                    unsent.add(0, java.util.Arrays.copyOfRange(bytes, room, bytes.length));
                } else if (unsent.isEmpty()) {
                    rests();
                }
            }
        }

        @Override
        public void ended() {
            gone = true;
            end.close();
        }

        @Override
        public void reset() {
            gone = true;
        }
    }
}
