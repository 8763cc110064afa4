package loadbalancer.capacity;

import java.lang.management.ManagementFactory;
import java.util.SplittableRandom;
import loadbalancer.faults.fleet.SwimWorld;
import loadbalancer.fleet.membership.Health;

/**
 * Membership in virtual time, each repetition from a seed of its own: traffic and processor time of
 * a quiet fleet, and how long until all know that a member was killed. Bytes are an estimate of
 * each datagram without shared items; processor time includes the virtual network's.
 */
final class MembershipMeasurement implements Measurement {
    private static final int[] SIZES = {10, 30, 100, 300, 1_000};
    private static final long SECOND = 1_000_000;
    private static final int SETTLE_SECONDS = 5;
    private static final int QUIET_SECONDS = 10;
    private static final double LIMIT_SECONDS = 300;

    @Override
    public String description() {
        return "membership: traffic, processor time and detection by members, in virtual time";
    }

    @Override
    public void run(Recorder recorder) {
        for (int members : SIZES) {
            SwimWorld world = SwimWorld.warm(recorder.repetition(), members);
            world.fleet().run(SETTLE_SECONDS * SECOND);
            quiet(recorder, world, members);
            detection(recorder, world, members);
        }
    }

    private static void quiet(Recorder recorder, SwimWorld world, int members) {
        long[] before = world.traffic();
        long cpuBefore = threadCpu();
        world.fleet().run(QUIET_SECONDS * SECOND);
        double cpuMicros = (threadCpu() - cpuBefore) / 1e3;
        long[] after = world.traffic();
        double memberSeconds = (double) members * QUIET_SECONDS;
        recorder.add(
                "membership.packets",
                "members",
                members,
                (after[0] - before[0]) / memberSeconds,
                "a second and member");
        recorder.add(
                "membership.bytes",
                "members",
                members,
                (after[1] - before[1]) / memberSeconds,
                "B a second and member");
        recorder.add(
                "membership.processor",
                "members",
                members,
                cpuMicros / memberSeconds,
                "us a second and member");
    }

    private static void detection(Recorder recorder, SwimWorld world, int members) {
        int victim = new SplittableRandom(recorder.repetition()).nextInt(members);
        world.process(victim).kill();
        double seconds =
                world.until(
                        LIMIT_SECONDS,
                        w -> w.holding(victim, m -> m.health() == Health.DEAD) == members - 1);
        if (seconds < 0) {
            throw new IllegalStateException("not known dead to all within " + LIMIT_SECONDS + " s");
        }
        recorder.add("membership.detection", "members", members, seconds, "s");
    }

    private static long threadCpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
