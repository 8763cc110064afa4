package loadbalancer.faults.process.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.faults.process.Broken;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.check.Ask;
import loadbalancer.faults.process.check.Evidence;
import loadbalancer.faults.process.check.Rule;
import loadbalancer.faults.process.peer.Clients;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.plan.Step;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Child;
import loadbalancer.faults.process.program.Program;
import loadbalancer.faults.process.run.Verdict.Outcome;
import loadbalancer.faults.process.topology.ConfigText;
import loadbalancer.faults.process.topology.Topology;

/** Plays one plan from the first start to the last end. */
public final class Run {
    /** For whatever must come to pass; nothing that works takes a tenth of it. */
    private static final long PATIENCE_MS = 60_000;

    private static final long LOOK_MS = 20;

    /** Each balancer must serve so many once all is well. */
    private static final int ENOUGH = 10;

    /** Maximum lag of the rig at which rules about tenths of a second are checked. */
    private static final long TIGHT_LAG_MICROS = 100_000;

    /** Maximum lag of the rig; above it, a run says nothing about the balancers. */
    private static final long MOST_LAG_MICROS = 5_000_000;

    private final Plan plan;
    private final Program program;
    private final Topology.OperatorText text;
    private final Path folder;

    /** Of the program and of the rig itself. */
    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());

    private final List<String> failed = Collections.synchronizedList(new ArrayList<>());
    private final Lag lag = new Lag();
    private Evidence evidence = new Evidence(0, List.of(), List.of(), List.of(), List.of(), 0);

    private Run(Plan plan, Program program, Topology.OperatorText text, Path folder) {
        this.plan = plan;
        this.program = program;
        this.text = text;
        this.folder = folder;
    }

    /** Plays a plan. All that is written goes to the folder, which is removed if all goes well. */
    public static Verdict play(
            Plan plan, Program program, Topology.OperatorText text, Path folder) {
        return play(plan, program, text, folder, scene -> {});
    }

    /** The same, with something that a test does once all serve, beside what the plan says. */
    public static Verdict play(
            Plan plan,
            Program program,
            Topology.OperatorText text,
            Path folder,
            Consumer<Scene> meanwhile) {
        return new Run(plan, program, text, folder).play(meanwhile);
    }

    private Verdict play(Consumer<Scene> meanwhile) {
        List<BalancerInstance> instances = new ArrayList<>();
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("plan.txt"), plan.text());
            try (Lag beat = lag;
                    Scene scene = new Scene(plan, program, text, folder)) {
                instances.addAll(scene.instances());
                try {
                    play(scene, meanwhile);
                } finally {
                    if (beat.worstMicros() > MOST_LAG_MICROS) {
                        failed.add(
                                "the rig itself stood still for "
                                        + beat.worstMicros() / 1_000
                                        + " ms");
                    }
                    scene.log.write(folder);
                }
            }
        } catch (Broken e) {
            broken.add(e.getMessage());
        } catch (RigFailure e) {
            failed.add(e.getMessage());
        } catch (IOException | RuntimeException e) {
            failed.add("the rig failed: " + e);
        }
        instances.forEach(s -> s.all().forEach(this::mustBeGone));
        return verdict();
    }

    private void mustBeGone(Child child) {
        if (ProcessHandle.of(child.pid()).map(ProcessHandle::isAlive).orElse(false)) {
            failed.add(child.name() + " has outlived the run, as process " + child.pid());
        }
    }

    private void play(Scene scene, Consumer<Scene> meanwhile) {
        together(scene, BalancerInstance::start);
        try (Clients clients =
                new Clients(
                        IntStream.range(0, plan.balancers())
                                .mapToObj(scene.topology::listen)
                                .toList(),
                        plan.perSecond(),
                        plan.deployment().longestMs(),
                        scene.random("clients"),
                        scene.log)) {
            scene.clients(clients);
            long begin = RealTime.micros();
            meanwhile.accept(scene);
            steps(scene, begin);
            long healedAt = RealTime.micros();
            scene.check();
            scene.discovery()
                    .publish(IntStream.range(0, plan.upstreams()).mapToObj(scene::ready).toList());
            boolean back =
                    await(
                            () ->
                                    IntStream.range(0, plan.balancers())
                                            .allMatch(
                                                    b -> scene.log.served(b, healedAt) >= ENOUGH));
            clients.stop();
            if (!await(() -> clients.open() == 0) || clients.overrun()) {
                throw new RigFailure(
                        "clients are not done: " + clients.open() + " requests are open");
            }
            // What does not come back is the program's fault only while all around it works.
            scene.check();
            clients.leave(); // who keeps a connection keeps a process from its end
            together(scene, BalancerInstance::stop);
            evidence = scene.log.evidence(plan.balancers(), healedAt);
            Rule.all(plan.deployment().windowMs() * 1_000, ConfigText.GRACE, this::group)
                    .forEach(rule -> rule.judge(evidence, broken::add));
            if (!isLate()) {
                Rule.tight().forEach(rule -> rule.judge(evidence, broken::add));
            }
            if (!back && broken.isEmpty()) {
                throw new RigFailure("service came back too slowly to be told");
            }
        }
    }

    private String group(String upstream) {
        return plan.deployment()
                .group(Integer.parseInt(upstream.substring(upstream.indexOf('-') + 1)));
    }

    private boolean isLate() {
        return lag.worstMicros() > TIGHT_LAG_MICROS;
    }

    private void together(Scene scene, Consumer<BalancerInstance> what) {
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            List<CompletableFuture<Void>> all =
                    scene.instances().stream()
                            .map(s -> CompletableFuture.runAsync(() -> what.accept(s), threads))
                            .toList();
            all.forEach(Run::join);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void join(Future<?> future) {
        try {
            future.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new RigFailure("a step failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RigFailure("interrupted", e);
        }
    }

    /**
     * Does all steps at their times, and returns when the last is over and clients have asked long
     * enough.
     */
    private void steps(Scene scene, long begin) {
        StepRunner runner = new StepRunner(scene);
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            List<Future<?>> all = new ArrayList<>();
            for (Step step : plan.steps()) {
                waitUntil(scene, begin + step.atMs() * 1_000);
                all.add(threads.submit(() -> runner.step(step)));
            }
            waitUntil(scene, begin + plan.lengthMs() * 1_000);
            all.forEach(Run::join);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void waitUntil(Scene scene, long micros) {
        while (RealTime.micros() < micros) {
            BalancerInstance.pause(
                    Math.min(LOOK_MS, Math.max(1, (micros - RealTime.micros()) / 1_000)));
            scene.instances().forEach(s -> s.current().mustLive());
        }
    }

    private static boolean await(BooleanSupplier condition) {
        for (long waited = 0; waited < PATIENCE_MS; waited += LOOK_MS) {
            if (condition.getAsBoolean()) {
                return true;
            }
            BalancerInstance.pause(LOOK_MS);
        }
        return condition.getAsBoolean();
    }

    private Verdict verdict() {
        Outcome outcome =
                !failed.isEmpty()
                        ? Outcome.RIG_FAILED
                        : broken.isEmpty() ? Outcome.KEPT : Outcome.BROKEN;
        List<String> lines = new ArrayList<>(failed);
        lines.addAll(broken);
        int requests = (int) evidence.asks().stream().map(Ask::wish).distinct().count();
        int served =
                (int)
                        evidence.asks().stream()
                                .filter(a -> a.status() == 200)
                                .map(Ask::wish)
                                .distinct()
                                .count();
        Path kept = outcome == Outcome.KEPT ? null : folder;
        try {
            if (kept == null) {
                remove(folder);
            } else {
                Files.write(
                        folder.resolve("verdict.txt"),
                        Stream.concat(Stream.of(outcome.name()), lines.stream()).toList());
            }
        } catch (IOException | UncheckedIOException e) {
            lines.add("can't tidy up: " + e);
        }
        return new Verdict(outcome, isLate(), List.copyOf(lines), requests, served, kept);
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
