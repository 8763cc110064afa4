package loadbalancer.faults.process.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.faults.process.Broken;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.check.Disturbance;
import loadbalancer.faults.process.check.Disturbance.Kind;
import loadbalancer.faults.process.peer.EvidenceLog;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.shim.ShimLibrary;
import loadbalancer.faults.process.shim.SyscallFaultPage;
import loadbalancer.faults.process.topology.ConfigText;
import loadbalancer.faults.process.topology.Topology;

/**
 * One balancer: its folder, and the process that serves for it, or two during a hand-over. What is
 * done to it is done one after the other, and is written down.
 */
public final class BalancerInstance implements AutoCloseable {
    /** The longest deadline that counts for the time of SIGKILL. */
    private static final long LONGEST_DEADLINE_MS = 3_000;

    /** SIGKILL comes so long after the longest deadline, counted from SIGTERM. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;

    private static final long BETWEEN_SIGNALS_MS = 50;

    private final int balancer;
    private final Topology topology;
    private final Program program;
    private final Reaper reaper;
    private final EvidenceLog log;
    private final Path folder;
    private final Path config;
    private final Path odds;
    private final Path operator;
    private final SyscallFaultPage faults;
    private final List<Child> all = new ArrayList<>();
    private volatile Child current;

    /**
     * Lays out its folder and starts nothing.
     *
     * @param skewed whether it may be put out of order by {@link Odds}
     */
    public BalancerInstance(
            int balancer,
            Topology topology,
            Topology.OperatorText text,
            Program program,
            boolean skewed,
            Path folder,
            Reaper reaper,
            EvidenceLog log)
            throws IOException {
        this.balancer = balancer;
        this.topology = topology;
        this.program = program;
        this.reaper = reaper;
        this.log = log;
        this.folder = Files.createDirectories(folder.resolve(Topology.name(balancer)));
        this.config = this.folder.resolve("config.json");
        Files.writeString(config, ConfigText.of(topology, balancer));
        Files.createDirectories(this.folder.resolve("tmp"));
        String own = text.of(balancer, topology);
        this.operator =
                own == null ? null : Files.writeString(this.folder.resolve("operator.toml"), own);
        this.odds = skewed ? this.folder.resolve("odds") : null;
        Optional<Path> library = ShimLibrary.get();
        this.faults =
                library.isEmpty()
                        ? null
                        : new SyscallFaultPage(library.get(), this.folder.resolve("faults.page"));
        odds(Odds.NONE);
    }

    /**
     * What its system calls are to do; empty where the system has no compiler to build that with.
     */
    public Optional<SyscallFaultPage> faults() {
        return Optional.ofNullable(faults);
    }

    /** Its process as it is now; null before the first. */
    public Child current() {
        return current;
    }

    /** All processes that it ever had. */
    public synchronized List<Child> all() {
        return List.copyOf(all);
    }

    /** Puts it out of order, or in order again; only one that was made so can be. */
    public void odds(Odds next) {
        if (odds == null && !next.equals(Odds.NONE)) {
            throw new RigFailure(
                    Topology.name(balancer) + " was not started to be put out of order");
        }
        try {
            if (odds != null) {
                next.write(odds);
            }
        } catch (IOException e) {
            throw new RigFailure("can't write " + odds, e);
        }
    }

    /** Starts a process and doesn't wait for it. */
    public synchronized Child begin() {
        int number = all.size();
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("NODE_CONFIG", config.toString());
        environment.put("NODE_OPS", Topology.text(topology.operators(balancer, number)));
        environment.put("NODE_STATE", folder.resolve("state").toString());
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        if (operator != null) {
            environment.put("NODE_OPERATOR", operator.toString());
        }
        faults().ifPresent(page -> environment.putAll(page.environment()));
        String name = Topology.name(balancer) + "." + number;
        Child child =
                Child.start(
                        name,
                        program,
                        odds,
                        environment,
                        topology.operators(balancer, number),
                        folder.resolve(name + ".log"),
                        reaper);
        all.add(child);
        return child;
    }

    /** Starts a process and waits until it serves. */
    public synchronized void start() {
        Child child = begin();
        current = child;
        note(Kind.BEGAN, RealTime.micros());
        child.awaitReady();
    }

    /** Ends its process at once and starts another after the time. */
    public synchronized void killFor(long ms) {
        long from = RealTime.micros();
        current.kill();
        pause(ms);
        start();
        note(Kind.KILLED, from);
    }

    /** Has its process stand still for the time. */
    public synchronized void pauseFor(long ms) {
        long from = RealTime.micros();
        current.signal("STOP");
        pause(ms);
        current.signal("CONT");
        note(Kind.PAUSED, from);
    }

    /** Ends its process in order, with no successor, and starts another. */
    public synchronized void restart() {
        restart(this::stop);
    }

    /** The same with further signals, and SIGKILL at the earliest time at which it may come. */
    public synchronized void restartWithSignals(int moreSignals) {
        restart(child -> stopWithSignals(child, moreSignals));
    }

    private void restart(Consumer<Child> stop) {
        long from = RealTime.micros();
        stop.accept(current);
        start();
        note(Kind.STOPPED, from);
    }

    /** Has a second process take over from the first. */
    public synchronized void handOver() {
        handOver(this::stop);
    }

    /** The same with further signals, and SIGKILL at the earliest time at which it may come. */
    public synchronized void handOverWithSignals(int moreSignals) {
        handOver(child -> stopWithSignals(child, moreSignals));
    }

    private void handOver(Consumer<Child> stop) {
        Child before = current;
        Child successor = begin();
        note(Kind.BEGAN, RealTime.micros());
        successor.awaitReady();
        current = successor;
        long from = RealTime.micros();
        stop.accept(before);
        note(Kind.HANDED_OVER, from);
    }

    /** A successor that is to crash at its start; the first process serves on. */
    public synchronized void failedHandOver() {
        odds(Odds.crashingAtStart());
        Child successor = begin();
        successor.mayEnd();
        int code = successor.awaitEnd();
        odds(Odds.NONE);
        if (code == 0) {
            throw new Broken(successor.name() + " was to crash and ended well");
        }
    }

    /** Has the process end at a request that comes, and starts another. */
    public synchronized void crashAfter(int requests) {
        current.mayEnd();
        odds(Odds.crashingAfter(requests));
        long from = RealTime.micros();
        current.awaitEnd();
        odds(Odds.NONE);
        start();
        note(Kind.KILLED, from);
    }

    /**
     * Has it read its configuration again, good with other figures or broken, and then as before.
     */
    public synchronized void reload(boolean good, long forMs) {
        try {
            Files.writeString(
                    config,
                    good
                            ? ConfigText.withFewerTries(topology, balancer)
                            : ConfigText.broken(topology, balancer));
            current.signal("HUP");
            pause(forMs);
            Files.writeString(config, ConfigText.of(topology, balancer));
            current.signal("HUP");
        } catch (IOException e) {
            throw new RigFailure("can't write " + config, e);
        }
    }

    /**
     * Has it read its configuration again so many times in a row, other figures and the usual in
     * turn.
     */
    public synchronized void reloads(int times) {
        try {
            for (int i = 0; i < times; i++) {
                Files.writeString(config, ConfigText.withFewerTries(topology, balancer));
                current.signal("HUP");
                Files.writeString(config, ConfigText.of(topology, balancer));
                current.signal("HUP");
            }
        } catch (IOException e) {
            throw new RigFailure("can't write " + config, e);
        }
    }

    /** Ends its process in order. */
    public synchronized void stop() {
        if (current != null && current.lives()) {
            stop(current);
        }
    }

    private void stop(Child child) {
        child.mustKeepItsRules();
        child.mayEnd();
        child.signal("TERM");
        mustEndWell(child);
    }

    private static void mustEndWell(Child child) {
        int code = child.awaitEnd();
        if (code != 0) {
            throw new Broken(child.name() + " ended with code " + code + " after SIGTERM");
        }
    }

    private void stopWithSignals(Child child, int moreSignals) {
        child.mustKeepItsRules();
        child.mayEnd();
        long killAt =
                RealTime.micros()
                        + TimeUnit.MILLISECONDS.toMicros(
                                Math.min(LONGEST_DEADLINE_MS, topology.deployment().longestMs())
                                        + KILL_AFTER_DEADLINE_MS);
        child.signal("TERM");
        for (int i = 0; i < moreSignals; i++) {
            pause(BETWEEN_SIGNALS_MS);
            if (child.lives()) {
                child.signal(i % 2 == 0 ? "HUP" : "TERM");
            }
        }
        if (!child.endsWithin(TimeUnit.MICROSECONDS.toMillis(killAt - RealTime.micros()))) {
            child.kill();
            return;
        }
        mustEndWell(child);
    }

    private void note(Kind kind, long from) {
        log.note(new Disturbance(kind, balancer, null, from, RealTime.micros()));
    }

    /** For a time that is part of the plan. */
    public static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RigFailure("interrupted", e);
        }
    }

    /** Kills what is left of it. */
    @Override
    public synchronized void close() {
        for (Child child : all) {
            if (child.lives()) {
                child.kill();
            }
        }
    }
}
