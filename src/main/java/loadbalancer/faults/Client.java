package loadbalancer.faults;

import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client's connection: honest, leaving early, or rude; honest ones ask again on it after each
 * answer.
 */
final class Client implements End.Owner {
    private static final String[] RUBBISH = {
        "\u0001\u0002 nonsense\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        // All is well with this one but that its length is told in two ways.
        "POST /push?key=k HTTP/1.1\r\n"
                + "Host: a\r\n"
                + "X-Correlation-Id: smuggled\r\n"
                + "X-Service-Class: push\r\n"
                + "X-Account: acme\r\n"
                + "X-Time-Left-Ms: 900\r\n"
                + "Idempotency-Key: s\r\n"
                + "Content-Length: 3\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "3\r\n"
                + "abc\r\n"
                + "0\r\n\r\n",
        "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: x\r\nX-Service-Class: none\r\n\r\n",
        "GET /lookup HTTP/1.1\r\n"
                + "Host: a\r\n"
                + "X-Time-Left-Ms: soon\r\n"
                + "X-Service-Class: lookup\r\n\r\n",
        "POST /push HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
        "POST /push HTT"
    };

    /** A slow reader takes so much at a time. */
    private static final int SIP = 8 * 1024;

    private final VirtualWorld world;
    private final UniformRandomProvider random;
    private final Host host;
    private final Message.Reader reader = new Message.Reader();
    private End end;
    private int left;
    private Oracle.Seen open;
    private boolean reused;
    private final boolean rude;
    private byte[] unsent = {};
    private Runnable whenSent = () -> {};
    private Ask last;

    /** Reads a little at a time, and is between two sips. */
    private final boolean slow;

    private boolean pausing;

    /** What it asks for once more. */
    private Ask again;

    private boolean endComes;

    Client(VirtualWorld world, UniformRandomProvider random, int requests, boolean rude) {
        this.world = world;
        this.random = random;
        this.left = requests;
        this.rude = rude;
        this.host = world.clients;
        this.slow = !rude && random.nextDouble() < world.slowReaders;
    }

    /** One that has a request in mind already, and no other. */
    static Client asking(VirtualWorld world, UniformRandomProvider random, Ask first) {
        Client client = new Client(world, random, 1, false);
        client.again = first;
        return client;
    }

    void connect() {
        world.network.connect(
                host,
                VirtualWorld.LISTEN,
                new VirtualNetwork.Connecting() {
                    @Override
                    public void up(End near) {
                        end = near;
                        near.owner(Client.this);
                        if (rude) {
                            near.send(
                                    RUBBISH[random.nextInt(RUBBISH.length)].getBytes(
                                            StandardCharsets.ISO_8859_1));
                            world.timeline.in(3_000_000, near::close);
                        } else {
                            ask();
                        }
                    }

                    @Override
                    public void refused() {
                        world.trace("client refused");
                    }
                });
    }

    private void ask() {
        Ask next = again != null ? again : Ask.drawn(world, random, 90_000);
        again = null;
        left--;
        last = next;
        unsent = next.bytes();
        // Registered from the first byte: large ones run while their last bytes are on the way.
        whenSent =
                () -> {
                    world.trace("client asked " + next.id());
                    if (world.hasty > 0 && random.nextDouble() < world.hasty) {
                        Oracle.Seen mine = open;
                        world.timeline.in(random.nextInt(3) * 500L, () -> leave(mine));
                        return;
                    }
                    if (random.nextDouble() < world.leaving) {
                        Oracle.Seen mine = open;
                        world.timeline.in(random.nextLong(400_000), () -> leave(mine));
                    }
                };
        open =
                world.oracle.asked(
                        next.id(),
                        next.effect(),
                        next.timeLeft() + sendingTime(),
                        world.maxAttempts,
                        end);
        open.prompt = !slow;
        writable();
    }

    /** Large requests wait for room; their time counts from the last byte. */
    private long sendingTime() {
        return unsent.length > End.WINDOW ? 2_000_000 : 0;
    }

    private void leave(Oracle.Seen mine) {
        if (open == mine && mine != null && !mine.over && !end.isClosed()) {
            world.trace("client leaves " + mine.id);
            world.oracle.left(mine);
            end.close();
        }
    }

    @Override
    public void writable() {
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

    @Override
    public void readable() {
        if (open != null && end.hasBytes()) {
            open.begun = true;
        }
        if (!slow) {
            take(Integer.MAX_VALUE);
        } else if (!pausing) {
            pausing = true;
            world.timeline.in(20_000 + random.nextInt(180_000), this::sip);
        }
    }

    private void sip() {
        pausing = false;
        if (end.isClosed()) {
            return; // what was not read is lost
        }
        take(SIP);
        if (end.hasBytes()) {
            readable();
        } else if (endComes) {
            ended();
        }
    }

    private void take(int most) {
        for (Message answer : reader.add(end.take(most))) {
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
        open = null;
        reused = true;
        boolean told = "close".equalsIgnoreCase(answer.header("connection"));
        if (!told && !slow && world.hasHandedOver(end.other().host())) {
            world.oracle.broken("end", "a process that hands over kept its client");
        }
        if (answer.status() != 200
                && last.effect() == Oracle.Effect.KEYED
                && random.nextDouble() < world.repeating) {
            again = last.again(world);
            left++;
        }
        boolean over = told || left == 0;
        if (over && !end.isClosed()) {
            end.close();
            if (left > 0) {
                reconnect();
            }
        } else {
            world.timeline.in(
                    random.nextLong(200_000),
                    () -> {
                        if (!end.isClosed() && open == null) {
                            ask();
                        }
                    });
        }
    }

    private void reconnect() {
        Client next = new Client(world, random, left, false);
        next.again = again;
        next.connect();
    }

    @Override
    public void ended() {
        endComes = true;
        if (!slow || !end.hasBytes()) {
            lost();
            end.close();
        }
    }

    @Override
    public void reset() {
        lost();
    }

    private void lost() {
        Oracle.Seen mine = open;
        open = null;
        if (rude || mine == null || mine.over) {
            return;
        }
        boolean cutShort = reader.inTheMiddle();
        if (cutShort) {
            world.trace("client got part of an answer for " + mine.id);
            world.oracle.excused(
                    mine); // it can tell that the answer is not whole: failed, not lost
        } else if (reused || world.excuses()) {
            // Its request and the closing crossed, or the process is gone: that one asks anew
            // elsewhere.
            world.oracle.excused(mine);
        } else {
            world.oracle.dropped(mine);
        }
    }
}
