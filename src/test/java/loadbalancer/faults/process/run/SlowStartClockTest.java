package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.peer.Upstream;
import loadbalancer.faults.process.program.BalancerInstance;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * An upstream that starts anew gets a ramp, neither all at once nor next to nothing, however far
 * this machine's wall clock or the upstreams' is off.
 */
class SlowStartClockTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long SETTLED_MS = 5_000;

    /** An upstream's port is free again after that. */
    private static final long DOWN_MS = 300;

    /** As the rig's settings have it, {@code cold-s}. */
    private static final long COLD_MS = 3_000;

    private static final int UPSTREAMS = 6;
    private static final double PER_SECOND = 100;

    @BeforeAll
    static void quiet() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * What an upstream got in spans of the cold time: before its restart, after it, and when it is
     * warm.
     */
    private record Ramp(long before, long whileCold, long afterwards) {}

    /**
     * Restarts an upstream under load and counts what it gets.
     *
     * @param balancerOffMs how far the balancer's wall clock is off from then on
     * @param upstreamOffMs how far that of the upstream is off which writes its time of start
     */
    private static Ramp restartWith(String name, long balancerOffMs, long upstreamOffMs) {
        Ramp[] ramp = new Ramp[1];
        Verdict verdict =
                SystemFaults.playAlone(
                        name,
                        UPSTREAMS,
                        PER_SECOND,
                        scene -> {
                            BalancerInstance.pause(SETTLED_MS);
                            SystemFaults.of(scene.instances().get(0)).wallClockOff(balancerOffMs);
                            ramp[0] = restart(scene, upstreamOffMs);
                        });
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        return ramp[0];
    }

    private static Ramp restart(Scene scene, long upstreamOffMs) {
        Upstream upstream = scene.upstreams().get(0);
        long diedAt = RealTime.micros();
        upstream.die();
        BalancerInstance.pause(DOWN_MS);
        try {
            upstream.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        long startedAt = RealTime.micros();
        scene.discovery()
                .publish(List.of(scene.ready(0).started(upstream.startedMs() + upstreamOffMs)));
        SystemFaults.awaitSince(startedAt, 3 * COLD_MS);
        long warmAt = startedAt + 2 * COLD_MS * 1_000;
        return new Ramp(
                SystemFaults.ran(scene, upstream.id(), diedAt - COLD_MS * 1_000, diedAt),
                SystemFaults.ran(scene, upstream.id(), startedAt, startedAt + COLD_MS * 1_000),
                SystemFaults.ran(scene, upstream.id(), warmAt, warmAt + COLD_MS * 1_000));
    }

    private static void assertRamp(Ramp ramp) {
        assertTrue(ramp.whileCold() <= 0.7 * ramp.before(), () -> "no slow start: " + ramp);
        assertTrue(ramp.afterwards() >= 0.4 * ramp.before(), () -> "starved: " + ramp);
    }

    private static void balancerStartedAnHourAhead() {
        Ramp[] ramp = new Ramp[1];
        Verdict verdict =
                SystemFaults.playAlone(
                        "clock-own",
                        UPSTREAMS,
                        PER_SECOND,
                        scene -> {
                            BalancerInstance balancer = scene.instances().get(0);
                            SystemFaults.of(balancer).wallClockOff(HOUR_MS);
                            balancer.restart();
                            BalancerInstance.pause(SETTLED_MS);
                            ramp[0] = restart(scene, 0);
                        });
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertRamp(ramp[0]);
    }

    /**
     * Right, all machines an hour back, all an hour ahead, and only the balancer, since before its
     * start.
     */
    @Test
    void rampWhateverTheClocksSay() {
        SystemFaults.together(
                () -> assertRamp(restartWith("clock-right", 0, 0)),
                () -> assertRamp(restartWith("clock-back", -HOUR_MS, -HOUR_MS)),
                () -> assertRamp(restartWith("clock-ahead", HOUR_MS, HOUR_MS)),
                SlowStartClockTest::balancerStartedAnHourAhead);
    }
}
