package loadbalancer.capacity;

import java.lang.management.ManagementFactory;
import java.util.SplittableRandom;
import loadbalancer.faults.fleet.SwimSimulation;
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
            SwimSimulation simulation = SwimSimulation.converged(recorder.repetition(), members);
            simulation.network().run(SETTLE_SECONDS * SECOND);
            quiet(recorder, simulation, members);
            detection(recorder, simulation, members);
        }
    }

    private static void quiet(Recorder recorder, SwimSimulation simulation, int members) {
        SwimSimulation.Traffic before = simulation.traffic();
        long cpuBefore = threadCpu();
        simulation.network().run(QUIET_SECONDS * SECOND);
        double cpuMicros = (threadCpu() - cpuBefore) / 1e3;
        SwimSimulation.Traffic sent = simulation.traffic().since(before);
        double memberSeconds = (double) members * QUIET_SECONDS;
        recorder.add(
                "membership.packets",
                "members",
                members,
                sent.packets() / memberSeconds,
                "a second and member");
        recorder.add(
                "membership.bytes",
                "members",
                members,
                sent.bytes() / memberSeconds,
                "B a second and member");
        recorder.add(
                "membership.processor",
                "members",
                members,
                cpuMicros / memberSeconds,
                "us a second and member");
    }

    private static void detection(Recorder recorder, SwimSimulation simulation, int members) {
        int victim = new SplittableRandom(recorder.repetition()).nextInt(members);
        simulation.process(victim).kill();
        double seconds =
                simulation.runUntil(
                        LIMIT_SECONDS,
                        s ->
                                s.countObservers(victim, m -> m.health() == Health.DEAD)
                                        == members - 1);
        if (seconds < 0) {
            throw new IllegalStateException("not known dead to all within " + LIMIT_SECONDS + " s");
        }
        recorder.add("membership.detection", "members", members, seconds, "s");
    }

    private static long threadCpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
