package loadbalancer.lab;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntConsumer;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.lab.sim.Simulation;

/** Plays an experiment's runs over several threads and writes the results as they come. */
public final class Runner {
    private static final System.Logger LOG = System.getLogger(Runner.class.getName());

    private final Experiment experiment;
    private final Path folder;
    private final int threads;

    /** Results go to {@code folder}; up to {@code threads} runs are played at a time. */
    public Runner(Experiment experiment, Path folder, int threads) {
        this.experiment = experiment;
        this.folder = folder;
        this.threads = threads;
    }

    /**
     * Plays all that {@code folder} doesn't have yet if {@code resume} is set, else everything.
     *
     * @param progress is told the number of finished runs after each
     * @return how many runs there are in all now
     * @throws BadScenario if the folder holds another experiment's results
     */
    public int run(boolean resume, IntConsumer progress)
            throws BadScenario, IOException, InterruptedException {
        List<Row> rows =
                resume && Files.exists(folder.resolve("head.json"))
                        ? finished()
                        : new ArrayList<>();
        Results.writeHead(folder, experiment);
        if (rows.isEmpty()) {
            Files.deleteIfExists(folder.resolve("runs.jsonl"));
            Files.deleteIfExists(folder.resolve(Results.PART));
        }
        Set<String> done = new HashSet<>();
        rows.forEach(r -> done.add(r.id()));
        List<Experiment.Run> left =
                experiment.runs().stream().filter(r -> !done.contains(r.id())).toList();
        play(left, rows, progress);
        Results results = new Results(experiment.head(), rows);
        results.write(folder);
        Files.writeString(folder.resolve("report.html"), new Report(results).html());
        return rows.size();
    }

    private List<Row> finished() throws BadScenario {
        Results before = Results.read(folder);
        if (!before.head.path("fingerprint").asText().equals(experiment.fingerprint())) {
            throw new BadScenario(
                    folder.toString(),
                    "holds results of another experiment or scenario; "
                            + "give another folder with --out, or leave out --resume");
        }
        Map<String, Row> byId = new HashMap<>();
        before.rows.forEach(r -> byId.put(r.id(), r));
        return new ArrayList<>(
                experiment.runs().stream()
                        .map(r -> byId.get(r.id()))
                        .filter(r -> r != null)
                        .toList());
    }

    private void play(List<Experiment.Run> left, List<Row> rows, IntConsumer progress)
            throws IOException, InterruptedException {
        ExecutorService pool =
                Executors.newFixedThreadPool(
                        threads,
                        task -> {
                            Thread t = new Thread(task, "run");
                            t.setDaemon(true);
                            return t;
                        });
        try (BufferedWriter part =
                Files.newBufferedWriter(
                        folder.resolve(Results.PART),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND)) {
            ExecutorCompletionService<Row> queue = new ExecutorCompletionService<>(pool);
            left.forEach(run -> queue.submit(() -> play(run)));
            for (int i = 0; i < left.size(); i++) {
                Row row = queue.take().get();
                rows.add(row);
                part.write(Results.JSON.writeValueAsString(row) + "\n");
                part.flush();
                LOG.log(
                        System.Logger.Level.DEBUG,
                        () -> "finished " + row.id() + ", G " + row.result().g());
                progress.accept(rows.size());
            }
        } catch (ExecutionException e) {
            throw new UncheckedIOException(new IOException("a run failed", e.getCause()));
        } finally {
            pool.shutdownNow();
        }
    }

    private static Row play(Experiment.Run run) {
        return new Row(
                run.cell().index(),
                run.cell().at(),
                run.policy(),
                run.seed(),
                Simulation.play(
                        run.cell().scenario(),
                        BalancerUnderTest.all().get(run.policy()),
                        run.seed()));
    }
}
