package loadbalancer.node.supervisor;

import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.stage.RolloutController;
import loadbalancer.settings.InvalidInputException;

/**
 * Runs the parent role: a look at the processes every fifth of a second, a step of the rollout
 * every second, all on one thread. It ends without touching its processes.
 */
public final class SupervisorRole implements AutoCloseable {
    /** A successor that is ready waits no longer than that for its predecessor's end to begin. */
    static final long LOOK_MS = 200;

    private static final long STEP_US = 1_000_000;

    private final SupervisorFile file;
    private final FileChannel lock;
    private final ProcessSupervisor supervisor;
    private final Processes processes;
    private final RolloutExecutor rolloutExecutor;
    private final Consumer<String> report;
    private final RandomGenerator random;
    private RolloutController rollout;
    private WindowMetrics tallier;
    private long stepAt = Long.MIN_VALUE;

    /** Takes the state folder for itself, and takes up what an earlier parent has left there. */
    SupervisorRole(SupervisorFile file, long now, RandomGenerator random, Consumer<String> report)
            throws IOException {
        this.file = file;
        this.random = random;
        this.report = report;
        Files.createDirectories(file.state());
        lock = lock(file.state());
        RolloutExecutor.SavedState saved =
                RolloutExecutor.SavedState.read(file.state(), file.base());
        supervisor =
                new ProcessSupervisor(
                        saved.runs(), saved.key().isEmpty() ? null : saved.before(), random);
        processes = new Processes(file, report);
        rolloutExecutor = new RolloutExecutor(file, saved, supervisor, report);
        processes.find(supervisor, now);
    }

    /** Two parents would each start a successor for the other's processes. */
    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve("parent.lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock held = channel.tryLock();
            if (held != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // held within this Java machine; the one complaint below serves for it too
        }
        channel.close();
        throw new IOException("another parent holds " + folder);
    }

    /**
     * Takes part in a fleet from now on; all calls of {@code shared} come from the thread of {@link
     * #look}.
     */
    public RolloutController join(SharedState shared) {
        rollout = rolloutExecutor.rollout(shared, random);
        tallier = new WindowMetrics(shared);
        return rollout;
    }

    /** Wants a variant without any plan. */
    void want(Variant variant, Variant otherwise) {
        supervisor.want(variant, otherwise);
    }

    /** One look. Times are microseconds: of a clock that only advances, and of the wall. */
    public void look(long now, long wallUs) throws IOException {
        processes.look(supervisor, now);
        for (ProcessSupervisor.Order order : supervisor.tick(now)) {
            if (order instanceof ProcessSupervisor.Order.Start start) {
                processes.start(supervisor, now, start.process(), start.variant());
            } else if (order instanceof ProcessSupervisor.Order.Terminate terminate) {
                processes.terminate(terminate.process());
            } else if (order instanceof ProcessSupervisor.Order.Kill kill) {
                processes.kill(kill.process());
            } else if (order instanceof ProcessSupervisor.Order.Became became) {
                report.accept("serves with " + became.variant());
                rolloutExecutor.became(became.variant());
            } else if (order instanceof ProcessSupervisor.Order.Failed failed) {
                rolloutExecutor.failed(now, failed.variant(), failed.reason());
            }
        }
        if (rollout != null && now >= stepAt) {
            stepAt = now + STEP_US;
            long window = Math.floorDiv(wallUs, CanaryAnalysis.WINDOW_MICROS);
            rollout.setServing(supervisor.serves());
            rolloutExecutor.step(now, window);
            tallier.look(now, window, rollout.measurement().orElse(null), processes::samples);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }

    /**
     * Keeps a balancer without a fleet, as the file named by the only argument says, until it is
     * ended.
     */
    public static void main(String[] args) throws InterruptedException {
        int exit = run(args, System.err);
        if (exit != 0) {
            System.exit(exit);
        }
    }

    private static int run(String[] args, PrintStream err) throws InterruptedException {
        if (args.length != 1) {
            err.println("expected the parent's file");
            return 2;
        }
        Ticker ticker = Ticker.systemTicker();
        InstantSource wall = InstantSource.system();
        try (SupervisorRole parent =
                new SupervisorRole(
                        SupervisorFile.read(Path.of(args[0])),
                        ticker.nanoTime() / 1_000,
                        RandomGenerator.getDefault(),
                        err::println)) {
            while (true) {
                parent.look(ticker.nanoTime() / 1_000, wall.millis() * 1_000);
                ticker.sleep(LOOK_MS, TimeUnit.MILLISECONDS);
            }
        } catch (IOException | InvalidInputException e) {
            err.println("can't keep a balancer: " + e.getMessage());
            return 1;
        }
    }
}
