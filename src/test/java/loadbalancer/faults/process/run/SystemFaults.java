package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.check.Evidence;
import loadbalancer.faults.process.check.Ran;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.shim.SyscallFaultPage;

/** What tests of faults below the program share. */
final class SystemFaults {
    private SystemFaults() {}

    /** Plays some at a time, each on a thread of its own, and fails as the first that fails. */
    static void together(Runnable... plays) {
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            List<CompletableFuture<Void>> all =
                    Arrays.stream(plays)
                            .map(play -> CompletableFuture.runAsync(play, threads))
                            .toList();
            all.forEach(
                    play -> play.exceptionally(e -> null).join()); // none is left when this returns
            all.forEach(CompletableFuture::join);
        } finally {
            threads.shutdown();
        }
    }

    /**
     * The page that drives a balancer's system calls; these tests need a compiler, which CI has.
     */
    static SyscallFaultPage of(BalancerInstance instance) {
        return instance.faults()
                .orElseThrow(() -> new RigFailure("no compiler to build the shim with"));
    }

    /**
     * Plays one balancer without faults of the plan's own, and has the test do what it likes
     * meanwhile.
     */
    static Verdict playAlone(
            String name, int upstreams, double perSecond, Consumer<Scene> meanwhile) {
        Verdict verdict =
                FleetScenarioTest.play(
                        Plan.quiet(name.hashCode(), 1, upstreams, perSecond, 0),
                        FleetScenarioTest.folder(name),
                        meanwhile);
        assertTrue(verdict.requests() > 0, () -> "nobody asked: " + verdict.faults());
        return verdict;
    }

    /**
     * How many requests an upstream has read from one moment to another, in microseconds of the
     * rig.
     */
    static long ran(Scene scene, String upstream, long from, long to) {
        Evidence evidence = scene.log.evidence(1, 0);
        return evidence.runs().stream()
                .filter(r -> r.upstream().equals(upstream))
                .mapToLong(Ran::at)
                .filter(at -> at >= from && at < to)
                .count();
    }

    /** Waits until so many milliseconds have passed since then. */
    static void awaitSince(long from, long ms) {
        BalancerInstance.pause(Math.max(0, ms - (RealTime.micros() - from) / 1_000));
    }
}
