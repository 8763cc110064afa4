package loadbalancer.node.supervisor;

import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.stage.RolloutController;
import loadbalancer.settings.InvalidInputException;

/**
 * Runs a supervisor: polls the processes every 200 ms and steps the rollout every second, all on
 * one thread. The processes keep running when it is closed.
 *
 * <p>Not thread-safe. Times are microseconds of the monotonic clock; {@code wallMicros} is the UTC
 * wall-clock time in microseconds.
 */
public final class SupervisorRole implements AutoCloseable {
    /** Longest time between the readiness of a successor and the drain of its predecessor. */
    static final long POLL_INTERVAL_MILLIS = 200;

    private static final long STEP_INTERVAL_MICROS = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Exit code for invalid command-line arguments. */
    private static final int EXIT_USAGE = 2;

    private static final int EXIT_FAILURE = 1;

    private final FileChannel lock;
    private final ProcessSupervisor supervisor;
    private final ProcessRunner processes;
    private final RolloutExecutor rolloutExecutor;
    private final Consumer<String> log;
    private final RandomGenerator random;

    /** Null unless the supervisor has joined a fleet. */
    private RolloutController rollout;

    private WindowCountersPublisher publisher;
    private long nextStepMicros = Long.MIN_VALUE;

    /**
     * Locks the state folder, and adopts the processes of an earlier supervisor.
     *
     * @throws StateFolderLockedException if another supervisor holds the folder
     * @throws IOException if the folder can't be read or written
     */
    SupervisorRole(
            SupervisorConfig config, long nowMicros, RandomGenerator random, Consumer<String> log)
            throws IOException {
        this.random = random;
        this.log = log;
        Files.createDirectories(config.stateFolder());
        lock = StateFolder.lock(config.stateFolder());
        SupervisorState state = SupervisorState.read(config.stateFolder(), config.initial());
        Variant fallback = state.planKey().isEmpty() ? null : state.previous();
        supervisor = new ProcessSupervisor(state.running(), fallback, random);
        processes = new ProcessRunner(config, log);
        rolloutExecutor = new RolloutExecutor(config, state, supervisor, log);
        processes.adoptAll(supervisor, nowMicros);
    }

    /**
     * Joins a fleet, and returns the controller of its rollouts. {@code shared} is called only from
     * the thread that calls {@link #poll}.
     */
    public RolloutController join(SharedState shared) {
        rollout = rolloutExecutor.join(shared, random);
        publisher = new WindowCountersPublisher(shared);
        return rollout;
    }

    /** Sets the desired variant without a rollout plan. */
    void setDesired(Variant variant, Variant fallback) {
        supervisor.setDesired(variant, fallback);
    }

    /**
     * Polls the processes and executes the actions that are due. May block for several seconds.
     *
     * @throws IOException if the state folder can't be read or written
     */
    public void poll(long nowMicros, long wallMicros) throws IOException {
        processes.poll(supervisor, nowMicros);
        for (SupervisorAction action : supervisor.tick(nowMicros)) {
            execute(nowMicros, action);
        }
        if (rollout != null && nowMicros >= nextStepMicros) {
            nextStepMicros = nowMicros + STEP_INTERVAL_MICROS;
            stepRollout(nowMicros, Math.floorDiv(wallMicros, CanaryAnalysis.WINDOW_MICROS));
        }
    }

    private void execute(long nowMicros, SupervisorAction action) throws IOException {
        if (action instanceof SupervisorAction.Start start) {
            processes.start(supervisor, nowMicros, start.process(), start.variant());
        } else if (action instanceof SupervisorAction.Terminate terminate) {
            processes.terminate(terminate.process());
        } else if (action instanceof SupervisorAction.Kill kill) {
            processes.kill(kill.process());
        } else if (action instanceof SupervisorAction.Serving serving) {
            log.accept("now serving with " + serving.variant());
            rolloutExecutor.onServing(serving.variant());
        } else if (action instanceof SupervisorAction.Failed failed) {
            rolloutExecutor.onFailed(nowMicros, failed.variant(), failed.reason());
        }
    }

    private void stepRollout(long nowMicros, long window) throws IOException {
        rollout.setServing(supervisor.isServing());
        rolloutExecutor.step(nowMicros, window);
        rollout.measurement()
                .ifPresentOrElse(
                        measurement ->
                                publisher.update(
                                        nowMicros, window, measurement, processes::samples),
                        publisher::stop);
    }

    /** Unlocks the state folder; the processes continue to serve. */
    @Override
    public void close() throws IOException {
        lock.close();
    }

    /**
     * Supervises a balancer without a fleet until this process is ended. The only argument is the
     * path of the supervisor's configuration file.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int exitCode = run(args, System.err);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static int run(String[] args, PrintStream err) throws InterruptedException {
        if (args.length != 1) {
            err.println("expected one argument: the path of the supervisor's configuration file");
            return EXIT_USAGE;
        }
        Ticker ticker = Ticker.systemTicker();
        InstantSource wall = InstantSource.system();
        try (SupervisorRole role =
                new SupervisorRole(
                        SupervisorConfigReader.read(Path.of(args[0])),
                        nowMicros(ticker),
                        RandomGenerator.getDefault(),
                        err::println)) {
            while (true) {
                role.poll(nowMicros(ticker), wall.millis() * MICROS_PER_MILLI);
                ticker.sleep(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        } catch (IOException | InvalidInputException e) {
            err.println("can't supervise a balancer: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }

    private static long nowMicros(Ticker ticker) {
        return ticker.nanoTime() / NANOS_PER_MICRO;
    }
}
