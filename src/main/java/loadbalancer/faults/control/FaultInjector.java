package loadbalancer.faults.control;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws faults and schedules their beginnings and ends. */
final class FaultInjector {
    private static final long MILLISECOND = 1_000_000;
    private static final long STOP_MILLIS = 20_000;
    private static final long FAST_BYTES_PER_SECOND = 100_000_000;
    private static final long USUAL_DELAY = 2 * MILLISECOND;

    private final SimulationContext context;
    private final WriterMachine writer;
    private final List<FollowerMachine> followers;
    private final List<BalancerProcess> balancers;
    private final RandomGenerator random;
    private long lastEnd;

    FaultInjector(
            SimulationContext context,
            WriterMachine writer,
            List<FollowerMachine> followers,
            List<BalancerProcess> balancers) {
        this.context = context;
        this.writer = writer;
        this.followers = followers;
        this.balancers = balancers;
        this.random = context.newRandom();
    }

    /** Schedules a drawn fault that begins at that time. */
    void schedule(long begin) {
        FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
        switch (kind) {
            case KILL_SUBSCRIBER -> killSubscriber(begin);
            case STOP_SUBSCRIBER -> stop(begin, drawBalancer().host());
            case SLOW_READER -> slowReader(begin, drawBalancer());
            case KILL_ZONE -> killZone(begin);
            case KILL_FOLLOWER -> killFollower(begin, drawFollower());
            case STOP_FOLLOWER -> stop(begin, drawFollower().host());
            case CRASH_WRITER -> crashWriter(begin);
            case STOP_WRITER -> stop(begin, writer.host());
            case RESTORE_WRITER -> restoreWriter(begin);
            case KILL_CONTROL -> killControl(begin);
            case LOSE_CONNECTIONS -> loseConnections(begin);
            case SILENCE -> silence(begin);
            case DELAY -> delay(begin);
            default -> throw new IllegalStateException("no such fault: " + kind);
        }
    }

    /** When the last of all scheduled faults ends. */
    long lastEnd() {
        return lastEnd;
    }

    private void begin(long time, String what, Runnable action) {
        context.queue()
                .at(
                        time,
                        () -> {
                            context.trace().add("fault", what);
                            action.run();
                        });
    }

    private void end(long time, String what, Runnable action) {
        lastEnd = Math.max(lastEnd, time);
        context.queue()
                .at(
                        time,
                        () -> {
                            context.trace().add("fault", "end of " + what);
                            action.run();
                        });
    }

    private long drawnMillis(int least, int most) {
        return (least + random.nextInt(most - least + 1)) * MILLISECOND;
    }

    private BalancerProcess drawBalancer() {
        return balancers.get(random.nextInt(balancers.size()));
    }

    private FollowerMachine drawFollower() {
        return followers.get(random.nextInt(followers.size()));
    }

    private void killSubscriber(long begin) {
        BalancerProcess balancer = drawBalancer();
        boolean withKept = random.nextBoolean();
        String what =
                "kill of " + balancer.host().name() + (withKept ? "" : " without what it kept");
        begin(begin, what, () -> kill(balancer.host()));
        end(begin + drawnMillis(0, 10_000), what, () -> startBalancer(balancer, withKept));
    }

    private void startBalancer(BalancerProcess balancer, boolean withKept) {
        if (!balancer.host().isAlive()) {
            balancer.start(withKept);
        }
    }

    private void kill(VirtualHost host) {
        host.kill();
        context.network().breakConnectionsOf(host);
    }

    private void stop(long begin, VirtualHost host) {
        String what = "stop of " + host.name();
        begin(begin, what, host::stop);
        end(
                begin + STOP_MILLIS * MILLISECOND,
                what,
                () -> {
                    if (host.isAlive()) {
                        host.wake();
                        context.network().deliverTo(host);
                    }
                });
    }

    private void slowReader(long begin, BalancerProcess balancer) {
        long bytesPerSecond = 500 + random.nextInt(10_000);
        String what = "slow reading of " + balancer.host().name() + " at " + bytesPerSecond;
        begin(begin, what, () -> balancer.limitRate(bytesPerSecond));
        end(
                begin + drawnMillis(1_000, 15_000),
                what,
                () -> balancer.limitRate(FAST_BYTES_PER_SECOND));
    }

    private void killZone(long begin) {
        String zone = drawBalancer().zone();
        boolean withKept = random.nextBoolean();
        List<BalancerProcess> members =
                balancers.stream().filter(balancer -> balancer.zone().equals(zone)).toList();
        String what = "kill of " + zone + " with " + members.size() + " subscribers";
        begin(begin, what, () -> members.forEach(member -> kill(member.host())));
        end(
                begin + drawnMillis(100, 8_000),
                what,
                () -> members.forEach(member -> startBalancer(member, withKept)));
    }

    private void killFollower(long begin, FollowerMachine follower) {
        String what = "kill of " + follower.host().name();
        begin(begin, what, () -> kill(follower.host()));
        end(begin + drawnMillis(0, 15_000), what, () -> startFollower(follower));
    }

    private void startFollower(FollowerMachine follower) {
        if (!follower.host().isAlive()) {
            follower.start(random.nextBoolean());
        }
    }

    private void crashWriter(long begin) {
        int steps = random.nextInt(12);
        boolean byFailure = random.nextInt(4) == 0;
        String what =
                "crash of the writer behind "
                        + steps
                        + " steps"
                        + (byFailure ? " by a failing disk" : "");
        begin(begin, what, () -> writer.crashAfter(steps, byFailure));
        end(begin + drawnMillis(3_000, 15_000), "crash of the writer", this::startWriter);
    }

    private void startWriter() {
        writer.kill();
        writer.start();
    }

    private void restoreWriter(long begin) {
        begin(begin, "backup of the writer", writer::backUp);
        long loss = begin + drawnMillis(1_000, 10_000);
        begin(loss, "loss of the writer", writer::kill);
        if (random.nextBoolean()) {
            // A follower that misses the beginning of the new epoch comes with what the old one
            // told last.
            stop(loss, drawFollower().host());
        }
        end(loss + drawnMillis(100, 10_000), "loss of the writer", writer::restoreFromBackup);
    }

    private void killControl(long begin) {
        begin(
                begin,
                "kill of all control machines",
                () -> {
                    writer.kill();
                    followers.forEach(follower -> kill(follower.host()));
                });
        long back = begin + drawnMillis(1_000, 30_000);
        for (FollowerMachine follower : followers) {
            end(
                    back + drawnMillis(0, 500),
                    "kill of " + follower.host().name(),
                    () -> startFollower(follower));
        }
        end(back + drawnMillis(0, 500), "kill of the writer", writer::startIfDead);
    }

    private void loseConnections(long begin) {
        VirtualHost host = random.nextBoolean() ? drawFollower().host() : drawBalancer().host();
        end(
                begin,
                "loss of connections of " + host.name(),
                () -> context.network().loseConnectionsOf(host));
    }

    private void silence(long begin) {
        List<VirtualHost> near = random.nextBoolean() ? List.of(writer.host()) : drawSome();
        List<VirtualHost> far = new ArrayList<>();
        for (FollowerMachine follower : followers) {
            if (random.nextInt(3) > 0) {
                far.add(follower.host());
            }
        }
        int directions = 1 + random.nextInt(3);
        String what = "silence " + directions + " between " + names(near) + " and " + names(far);
        begin(begin, what, () -> forEachPair(near, far, directions, context.network()::silence));
        end(
                begin + drawnMillis(500, 20_000),
                what,
                () -> forEachPair(near, far, directions, context.network()::restore));
    }

    private List<VirtualHost> drawSome() {
        List<VirtualHost> hosts = new ArrayList<>();
        for (BalancerProcess balancer : balancers) {
            if (random.nextBoolean()) {
                hosts.add(balancer.host());
            }
        }
        return hosts;
    }

    private static List<String> names(List<VirtualHost> hosts) {
        return hosts.stream().map(VirtualHost::name).toList();
    }

    private static void forEachPair(
            List<VirtualHost> near, List<VirtualHost> far, int directions, DirectionAction action) {
        for (VirtualHost one : near) {
            for (VirtualHost other : far) {
                if ((directions & 1) != 0) {
                    action.accept(one, other);
                }
                if ((directions & 2) != 0) {
                    action.accept(other, one);
                }
            }
        }
    }

    /** Done to one direction between two hosts. */
    private interface DirectionAction {
        void accept(VirtualHost from, VirtualHost to);
    }

    private void delay(long begin) {
        long longest = drawnMillis(50, 1_000);
        String what = "delay up to " + longest / MILLISECOND + " ms";
        begin(begin, what, () -> context.network().setLongestDelay(longest));
        end(
                begin + drawnMillis(2_000, 15_000),
                what,
                () -> context.network().setLongestDelay(USUAL_DELAY));
    }
}
