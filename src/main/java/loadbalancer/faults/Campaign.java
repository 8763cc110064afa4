package loadbalancer.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/** Plays many seeds, and makes of each that fails the smallest scenario that still does. */
public final class Campaign {
    /** What a campaign came to. */
    public record Summary(
            long seeds, long requests, long answered, long steps, List<Failure> failures) {}

    /**
     * A seed that broke something.
     *
     * @param faults how many faults are left after shrinking
     */
    public record Failure(long seed, String breach, int faults, Path file) {}

    /** One scenario's end in words. */
    public record Replay(List<String> breaches, String trace, int requests, long answered) {}

    private final Path folder;
    private final int jobs;

    /**
     * Failures are written to {@code folder}; up to {@code jobs} scenarios are played at a time.
     */
    public Campaign(Path folder, int jobs) {
        this.folder = folder;
        this.jobs = jobs;
    }

    /**
     * Plays the seeds from {@code from} up to and with {@code to}; each failure is told as it is
     * found.
     */
    public Summary run(long from, long to, Consumer<Failure> found)
            throws IOException, InterruptedException {
        ExecutorService pool =
                Executors.newFixedThreadPool(
                        jobs,
                        task -> {
                            Thread t = new Thread(task, "seeds");
                            t.setDaemon(true);
                            return t;
                        });
        ExecutorCompletionService<VirtualWorld.Outcome> queue =
                new ExecutorCompletionService<>(pool);
        Semaphore ahead = new Semaphore(4 * jobs);
        Thread feeder =
                new Thread(
                        () -> {
                            for (long seed = from; seed <= to; seed++) {
                                long one = seed;
                                ahead.acquireUninterruptibly();
                                queue.submit(() -> play(Plan.drawn(one)));
                            }
                        },
                        "feeder");
        feeder.setDaemon(true);
        feeder.start();
        long requests = 0;
        long answered = 0;
        long steps = 0;
        List<Failure> failures = new ArrayList<>();
        try {
            for (long i = from; i <= to; i++) {
                VirtualWorld.Outcome o = queue.take().get();
                ahead.release();
                requests += o.requests();
                answered += o.answered();
                steps += o.steps();
                if (!o.breaches().isEmpty()) {
                    Failure f = write(o);
                    failures.add(f);
                    found.accept(f);
                }
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a scenario could not be played", e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return new Summary(to - from + 1, requests, answered, steps, failures);
    }

    /** A scenario that throws has failed like one that breaks a rule. */
    static VirtualWorld.Outcome play(Plan plan) {
        try {
            return VirtualWorld.play(plan);
        } catch (RuntimeException | AssertionError e) {
            StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            return new VirtualWorld.Outcome(
                    plan, List.of("crash: " + e + " at " + at), "", 0, 0, 0);
        }
    }

    private Failure write(VirtualWorld.Outcome o) throws IOException {
        Plan least = shrink(o.plan(), rule(o.breaches().get(0)));
        VirtualWorld.Outcome again = play(least);
        Files.createDirectories(folder);
        Path file = folder.resolve("seed-" + o.plan().seed() + ".json");
        Files.writeString(file, least.text());
        Files.writeString(folder.resolve("seed-" + o.plan().seed() + ".trace"), again.trace());
        return new Failure(o.plan().seed(), again.breaches().get(0), least.faults().size(), file);
    }

    private static String rule(String breach) {
        return breach.split(" at | [0-9]+ ms")[0];
    }

    /** Leaves out one fault after the other as long as the same rule still breaks. */
    static Plan shrink(Plan plan, String rule) {
        Plan least = plan;
        for (int i = least.faults().size() - 1; i >= 0; i--) {
            Plan fewer = least.without(i);
            if (play(fewer).breaches().stream().anyMatch(b -> rule(b).equals(rule))) {
                least = fewer;
            }
        }
        return least;
    }

    /** Plays a scenario from a file that a failure was written to. */
    public static Replay replay(Path file) throws IOException {
        return replay(play(Plan.read(file)));
    }

    /** Plays the scenario of a seed. */
    public static Replay replay(long seed) {
        return replay(play(Plan.drawn(seed)));
    }

    /** The scenario of a seed as a file would have it. */
    public static String plan(long seed) throws IOException {
        return Plan.drawn(seed).text();
    }

    private static Replay replay(VirtualWorld.Outcome o) {
        return new Replay(o.breaches(), o.trace(), o.requests(), o.answered());
    }
}
