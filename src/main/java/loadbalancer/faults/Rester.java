package loadbalancer.faults;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client that rests until the balancer ends it, and sends a request in that very moment: the two
 * cross. Such a request is lost and asked anew elsewhere; what it may not be is taken.
 */
final class Rester implements End.Owner {
    private final VirtualWorld world;
    private final UniformRandomProvider random;
    private final Message.Reader reader = new Message.Reader();
    private End end;
    private Oracle.Seen open;
    private boolean crossed;

    Rester(VirtualWorld world, UniformRandomProvider random) {
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
                        near.owner(Rester.this);
                        near.whenOtherEnds(() -> world.timeline.in(0, Rester.this::cross));
                        if (random.nextBoolean()) {
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
        Ask next = Ask.drawn(world, random, 500);
        world.trace(
                "client asked "
                        + next.id()
                        + (crossed ? " in the moment of the close" : " and rests"));
        open =
                world.oracle.asked(
                        next.id(), next.effect(), next.timeLeft(), world.maxAttempts, end);
        end.send(next.bytes());
    }

    private void cross() {
        if (open == null && !end.isClosed()) {
            crossed = true;
            ask();
            world.oracle.excused(open);
        }
    }

    @Override
    public void readable() {
        for (Message answer : reader.add(end.take(Integer.MAX_VALUE))) {
            if (answer.status() == 408) {
                continue; // to one that has sent nothing for long, in front of the close
            }
            if (open == null || crossed) {
                world.oracle.broken("1", "an answer that nobody asked for: " + answer.start());
                return;
            }
            world.trace("client got " + answer.status() + " for " + open.id);
            world.oracle.answered(open, answer.status(), answer.body());
            open = null;
            if ("close".equalsIgnoreCase(answer.header("connection"))) {
                end.close();
            }
        }
    }

    @Override
    public void ended() {
        lost();
        end.close();
    }

    @Override
    public void reset() {
        lost();
    }

    private void lost() {
        if (open != null && !open.over) {
            if (world.excuses() || reader.inTheMiddle()) {
                world.oracle.excused(open);
            } else {
                world.oracle.dropped(open);
            }
        }
        open = null;
    }

    @Override
    public void writable() {}
}
