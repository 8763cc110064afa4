package yewyoke.faults;

import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/** A client's connection: honest, leaving early, or rude; honest ones ask again on it after each answer. */
final class Client implements End.Owner {
    private static final String[] RUBBISH = {
        "\u0001\u0002 nonsense\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST /push HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0"
            + "\r\n\r\nabc",
        "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: x\r\nX-Service-Class: none\r\n\r\n",
        "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Time-Left-Ms: soon\r\nX-Service-Class: lookup\r\n\r\n",
        "POST /push HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "POST /push HTT"};

    private final World world;
    private final UniformRandomProvider random;
    private final Host host;
    private final Message.Reader reader = new Message.Reader();
    private End end;
    private int left;
    private Oracle.Seen open;
    private boolean reused;
    private final boolean rude;
    private byte[] unsent = {};
    private Runnable whenSent = () -> { };
    private String lastRequest;
    private Oracle.Effect lastEffect;

    Client(World world, UniformRandomProvider random, int requests, boolean rude) {
        this.world = world;
        this.random = random;
        this.left = requests;
        this.rude = rude;
        this.host = world.clients;
    }

    void connect() {
        world.network.connect(host, World.LISTEN, new VirtualNetwork.Connecting() {
            @Override public void up(End near) {
                end = near;
                near.owner(Client.this);
                if (rude) {
                    near.send(RUBBISH[random.nextInt(RUBBISH.length)].getBytes(StandardCharsets.ISO_8859_1));
                    world.timeline.in(3_000_000, near::close);
                } else {
                    ask();
                }
            }

            @Override public void refused() {
                world.trace("client refused");
            }
        });
    }

    private void ask() {
        left--;
        int cls = random.nextInt(10);
        lastEffect = cls < 6 ? Oracle.Effect.SAFE : cls < 9 ? Oracle.Effect.KEYED : Oracle.Effect.UNSAFE;
        String name = switch (lastEffect) {
            case SAFE -> "lookup";
            case KEYED -> "push";
            case UNSAFE -> "once";
        };
        String id = "r" + world.nextId();
        long timeLeft = 300 + random.nextInt(1_800);
        int length = random.nextInt(20) == 0 ? 90_000 : random.nextInt(500);
        String body = lastEffect == Oracle.Effect.SAFE ? "" : "b".repeat(length);
        lastRequest = (lastEffect == Oracle.Effect.SAFE ? "GET /" : "POST /") + name + "?key=k"
                + random.nextInt(20) + " HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + name + "\r\nX-Account: acme\r\nX-Time-Left-Ms: " + timeLeft
                + "\r\n"
                + (lastEffect == Oracle.Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "")
                + (lastEffect == Oracle.Effect.SAFE ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n" + body;
        send(id, timeLeft * 1_000);
    }

    private void send(String id, long timeLeft) {
        unsent = lastRequest.getBytes(StandardCharsets.ISO_8859_1);
        // Registered from the first byte: large ones run while their last bytes are on the way.
        whenSent = () -> {
            world.trace("client asked " + id);
            if (random.nextDouble() < world.leaving) {
                Oracle.Seen mine = open;
                world.timeline.in(random.nextLong(400_000), () -> leave(mine));
            }
        };
        open = world.oracle.asked(id, lastEffect, timeLeft + sendingTime(), world.maxAttempts);
        writable();
    }

    /** Large requests wait for room; their time counts from the last byte. */
    private long sendingTime() {
        return unsent.length > End.WINDOW ? 2_000_000 : 0;
    }

    private void leave(Oracle.Seen mine) {
        if (open == mine && mine != null && !mine.over && !end.isClosed()) {
            world.trace("client leaves " + mine.id);
            world.oracle.excused(mine);
            end.close();
        }
    }

    @Override public void writable() {
        while (unsent.length > 0 && !end.isClosed()) {
            int room = Math.min(unsent.length, end.room());
            if (room == 0) {
                return;
            }
            end.send(java.util.Arrays.copyOf(unsent, room));
            unsent = java.util.Arrays.copyOfRange(unsent, room, unsent.length);
            if (unsent.length == 0) {
                whenSent.run();
            }
        }
    }

    @Override public void readable() {
        byte[] bytes = end.take(Integer.MAX_VALUE);
        if (open != null && bytes.length > 0) {
            open.begun = true;
        }
        for (Message answer : reader.add(bytes)) {
            if (rude) {
                if (answer.status() < 400) {
                    world.oracle.broken("1", "served what is no request");
                }
                continue;
            }
            if (open == null) {
                world.oracle.broken("1", "an answer that nobody asked for: " + answer.start());
                continue;
            }
            answered(answer);
        }
    }

    private void answered(Message answer) {
        world.trace("client got " + answer.status() + " for " + open.id);
        world.oracle.answered(open, answer.status(), answer.body());
        world.answers.merge(answer.status() == 200 ? "passed" : answer.status() == 503 ? "dropped"
                : "bad_gateway", 1, Integer::sum);
        open = null;
        reused = true;
        boolean told = "close".equalsIgnoreCase(answer.header("connection"));
        if (!told && world.hasHandedOver(end.other().host())) {
            world.oracle.broken("end", "a process that hands over kept its client");
        }
        boolean last = told || left == 0;
        if (last && !end.isClosed()) {
            end.close();
            if (left > 0) {
                reconnect();
            }
        } else {
            world.timeline.in(random.nextLong(200_000), () -> {
                if (!end.isClosed() && open == null) {
                    ask();
                }
            });
        }
    }

    private void reconnect() {
        new Client(world, random, left, false).connect();
    }

    @Override public void ended() {
        lost(false);
        end.close();
    }

    @Override public void reset() {
        lost(true);
    }

    private void lost(boolean reset) {
        Oracle.Seen mine = open;
        open = null;
        if (rude || mine == null || mine.over) {
            return;
        }
        boolean cutShort = reader.inTheMiddle();
        if (cutShort) {
            world.trace("client got part of an answer for " + mine.id);
            world.oracle.excused(mine); // it can tell that the answer is not whole: failed, not lost
        } else if (reused || world.excuses()) {
            // Its request and the closing crossed, or the process is gone: that one asks anew elsewhere.
            world.oracle.excused(mine);
        } else {
            world.oracle.dropped(mine);
        }
    }
}
