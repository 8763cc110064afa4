package loadbalancer.faults;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;

/** A client that sends several requests at once; the answers must come in the order of these. */
final class Pipeliner implements End.Owner {
    private static final int MOST = 6;

    private final VirtualWorld world;
    private final UniformRandomProvider random;
    private final Message.Reader reader = new Message.Reader();
    private final Deque<Oracle.Seen> open = new ArrayDeque<>();
    private End end;
    private boolean first = true;

    Pipeliner(VirtualWorld world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
    }

    void connect() {
        world.network.connect(
                world.clients,
                VirtualWorld.LISTEN,
                new VirtualNetwork.Connecting() {
                    @Override
                    public void up(End near) {
                        end = near;
                        near.owner(Pipeliner.this);
                        ask();
                    }

                    @Override
                    public void refused() {
                        world.trace("client refused");
                    }
                });
    }

    /** Each is in work once the one before it is answered, and its time counts from there. */
    private void ask() {
        long time = 0;
        int count = 2 + random.nextInt(MOST - 1);
        for (int i = 0; i < count; i++) {
            Ask next = Ask.drawn(world, random, 500);
            time += next.timeLeft();
            Oracle.Seen seen =
                    world.oracle.asked(next.id(), next.effect(), time, world.maxAttempts, end);
            seen.prompt = false; // behind another's answer, which may be a large one
            open.add(seen);
            end.send(next.bytes());
            world.trace("client asked " + next.id() + " behind " + i + " others");
        }
        if (world.hasty > 0 && random.nextDouble() < world.hasty) {
            world.timeline.in(random.nextInt(4) * 50_000L, this::leave);
        }
    }

    @Override
    public void readable() {
        byte[] bytes = end.take(Integer.MAX_VALUE);
        if (!open.isEmpty() && bytes.length > 0) {
            open.peek().begun = true;
        }
        for (Message answer : reader.add(bytes)) {
            if (open.isEmpty()) {
                world.oracle.broken("1", "an answer that nobody asked for: " + answer.start());
                return;
            }
            Oracle.Seen seen = open.poll();
            world.trace("client got " + answer.status() + " for " + seen.id);
            world.oracle.answered(seen, answer.status(), answer.body());
            first = false;
            if ("close".equalsIgnoreCase(answer.header("connection"))) {
                excuseAll(); // told that those behind it were not taken
                end.close();
                return;
            }
        }
        if (open.isEmpty()) {
            end.close();
        }
    }

    private void leave() {
        if (!end.isClosed() && !open.isEmpty()) {
            world.trace("client leaves " + open.size() + " requests");
            open.forEach(world.oracle::left);
            open.clear();
            end.close();
        }
    }

    private void excuseAll() {
        open.forEach(world.oracle::excused);
        open.clear();
    }

    @Override
    public void ended() {
        reset();
        end.close();
    }

    @Override
    public void reset() {
        if (first && !open.isEmpty() && !reader.inTheMiddle() && !world.excuses()) {
            world.oracle.dropped(open.poll());
        }
        excuseAll();
    }

    @Override
    public void writable() {}
}
