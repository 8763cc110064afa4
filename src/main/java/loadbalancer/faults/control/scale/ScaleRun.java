package loadbalancer.faults.control.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.program.Reaper;

/**
 * One run: starts all processes, loads the base state, makes changes at a rate, injects faults, and
 * compares what all hold in the end.
 */
public final class ScaleRun {
    private static final long CURRENT_WITHIN_MICROS = 8_000_000;
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MILLISECOND = 1_000;
    private static final int WINDOW_SECONDS = 10;
    private static final double MEGABYTE = 1 << 20;

    private final ScaleOptions options;
    private final Deadline deadline;
    private final ControlCluster cluster;
    private final HollowFleet fleet;
    private final ChangeClient client;
    private final ScaleChanges changes;
    private final List<Measurement> measurements = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    private ScaleRun(
            ScaleOptions options, Deadline deadline, ControlCluster cluster, HollowFleet fleet) {
        this.options = options;
        this.deadline = deadline;
        this.cluster = cluster;
        this.fleet = fleet;
        this.client = new ChangeClient(cluster.writer(), deadline);
        this.changes = new ScaleChanges(options.size(), new SplittableRandom(options.seed()));
    }

    /** Runs to the end; all processes have ended when this returns, however it does. */
    public static ScaleResult run(ScaleOptions options) throws IOException {
        Files.createDirectories(options.folder());
        Deadline deadline = new Deadline(options.limits().deadlineSeconds());
        LocalAddresses addresses = new LocalAddresses();
        try (Reaper reaper = new Reaper(ScaleProgram.MARK);
                ControlCluster cluster = new ControlCluster(options, addresses, reaper, deadline);
                HollowFleet fleet =
                        new HollowFleet(options, cluster.followers(), reaper, addresses)) {
            MemoryBudget.check(options, fleet.processes());
            return new ScaleRun(options, deadline, cluster, fleet).run();
        }
    }

    private ScaleResult run() {
        load();
        startSubscribers();
        measureChanges();
        injectFaults();
        checkEnd();
        return new ScaleResult(measurements, violations);
    }

    private void measured(String name, double value, String unit) {
        measurements.add(new Measurement(name, value, unit));
    }

    private void load() {
        cluster.startWriter();
        long begin = RealTime.micros();
        changes.baseState().forEach(client::submit);
        measured("base_state_accepted", (RealTime.micros() - begin) / MICROS_PER_MILLISECOND, "ms");
        cluster.startFollowers();
    }

    private void startSubscribers() {
        long begin = RealTime.micros();
        fleet.start();
        awaitCurrent("all subscribers held the base state");
        measured("all_started", (RealTime.micros() - begin) / MICROS_PER_MILLISECOND, "ms");
        double bytes =
                fleet.status().stream()
                        .mapToLong(HollowReport.SubscriberReport::bytesRead)
                        .average()
                        .orElse(0);
        measured("snapshot_bytes", bytes, "B");
    }

    // ---- Changes without faults
    // -------------------------------------------------------------------------

    private void measureChanges() {
        fleet.groups().forEach(group -> group.ask(HollowCommand.RESET));
        UsageSample before = new UsageSample(cluster, fleet, options.subscribers());
        long begin = RealTime.micros();
        Map<Long, AcceptedChange> accepted = makeChanges();
        awaitCurrent("all changes were in force");
        double seconds = (RealTime.micros() - begin) / MICROS_PER_SECOND;
        measurements.addAll(new UsageSample(cluster, fleet, options.subscribers()).since(before));
        List<HollowReport> reports =
                fleet.groups().stream().map(group -> group.ask(HollowCommand.REPORT)).toList();
        measureTimes(accepted, reports);
        measureSubscribers(reports, seconds);
    }

    private Map<Long, AcceptedChange> makeChanges() {
        Map<Long, AcceptedChange> accepted = new TreeMap<>();
        long begin = RealTime.micros();
        for (int change = 0; change < options.changes(); change++) {
            long due = begin + (long) (change * MICROS_PER_SECOND / options.changesPerSecond());
            deadline.pause(Math.max(0, (due - RealTime.micros()) / 1_000));
            AcceptedChange made = client.submit(changes.next());
            accepted.put(made.revision().number(), made);
        }
        measured(
                "changes_per_second",
                options.changes() / ((RealTime.micros() - begin) / MICROS_PER_SECOND),
                "1/s");
        return accepted;
    }

    private void measureTimes(Map<Long, AcceptedChange> accepted, List<HollowReport> reports) {
        Map<Long, Integer> subscribers = new TreeMap<>();
        Map<Long, Long> last = new TreeMap<>();
        for (HollowReport report : reports) {
            for (RevisionTimes.RevisionTime time : report.revisions()) {
                subscribers.merge(time.number(), time.subscribers(), Integer::sum);
                last.merge(time.number(), time.lastMicros(), Math::max);
            }
        }
        List<Double> fromAcceptance = new ArrayList<>();
        List<Double> fromSubmission = new ArrayList<>();
        accepted.forEach(
                (number, change) -> {
                    if (subscribers.getOrDefault(number, 0) == options.subscribers()) {
                        double inForce = last.get(number);
                        fromAcceptance.add(
                                Math.max(0, inForce - change.acceptedMicros())
                                        / MICROS_PER_MILLISECOND);
                        fromSubmission.add(
                                (inForce - change.submittedMicros()) / MICROS_PER_MILLISECOND);
                    }
                });
        measured("changes_followed_at_all", fromAcceptance.size(), "count");
        if (fromAcceptance.size() < accepted.size()) {
            violations.add(
                    (accepted.size() - fromAcceptance.size())
                            + " of "
                            + accepted.size()
                            + " changes did not come in force as updates at all subscribers");
        }
        measureQuantiles("acceptance_to_last_in_force", fromAcceptance);
        measureQuantiles("submission_to_last_in_force", fromSubmission);
    }

    private void measureQuantiles(String name, List<Double> millis) {
        measured(name + "_median", Quantiles.of(millis, 0.5), "ms");
        measured(name + "_p99", Quantiles.of(millis, 0.99), "ms");
        measured(name + "_worst", Quantiles.of(millis, 1), "ms");
        if (Quantiles.of(millis, 1) > CURRENT_WITHIN_MICROS / MICROS_PER_MILLISECOND) {
            violations.add(name + " took " + Quantiles.of(millis, 1) + " ms");
        }
    }

    private void measureSubscribers(List<HollowReport> reports, double seconds) {
        List<HollowReport.SubscriberReport> subscribers =
                reports.stream().flatMap(report -> report.subscribers().stream()).toList();
        measured(
                "bytes_per_second_mean",
                subscribers.stream()
                                .mapToLong(HollowReport.SubscriberReport::bytesRead)
                                .average()
                                .orElse(0)
                        / seconds,
                "B/s");
        measured(
                "bytes_per_second_worst_subscriber",
                subscribers.stream()
                                .mapToLong(HollowReport.SubscriberReport::bytesRead)
                                .max()
                                .orElse(0)
                        / seconds,
                "B/s");
        measured(
                "bytes_per_second_worst_10_s",
                subscribers.stream()
                                .mapToLong(HollowReport.SubscriberReport::worstTenSecondBytes)
                                .max()
                                .orElse(0)
                        / (double) WINDOW_SECONDS,
                "B/s");
        measured(
                "bytes_per_change",
                subscribers.stream()
                                .mapToLong(HollowReport.SubscriberReport::bytesRead)
                                .average()
                                .orElse(0)
                        / options.changes(),
                "B");
        measured(
                "heap_subscriber",
                reports.stream().mapToLong(HollowReport::heapBytes).sum()
                        / MEGABYTE
                        / options.subscribers(),
                "MB");
    }

    // ---- Faults
    // -----------------------------------------------------------------------------------------

    private void injectFaults() {
        if (options.faults() == FaultScript.Extent.NONE) {
            return;
        }
        try (ChangeMaker maker = new ChangeMaker(client, changes, options.changesPerSecond())) {
            FaultScript script =
                    new FaultScript(
                            cluster,
                            fleet,
                            deadline,
                            options.faultTimeFactor(),
                            this::awaitCurrent);
            for (FaultScript.Recovery recovery : script.play(options.faults())) {
                measured(
                        "recovery_" + recovery.fault(),
                        recovery.micros() / MICROS_PER_MILLISECOND,
                        "ms");
                if (recovery.micros() > CURRENT_WITHIN_MICROS) {
                    violations.add(
                            "after "
                                    + recovery.fault()
                                    + " it took "
                                    + recovery.micros() / MICROS_PER_MILLISECOND
                                    + " ms until all were current");
                }
            }
            measured("changes_among_faults", maker.finish(), "count");
        }
    }

    /** Waits until what is accepted now is in force at all; gives the time in microseconds. */
    private long awaitCurrent(String what) {
        long begin = RealTime.micros();
        Revision latest = client.latest();
        deadline.await(
                what,
                () ->
                        fleet.status().stream()
                                .allMatch(
                                        report ->
                                                Revision.parse(report.revision()).number()
                                                        >= latest.number()));
        return RealTime.micros() - begin;
    }

    // ---- The end
    // ----------------------------------------------------------------------------------------

    private void checkEnd() {
        Change last = changes.next();
        client.submit(last);
        long micros = awaitCurrent("the last change was in force");
        if (micros > CURRENT_WITHIN_MICROS) {
            violations.add("the last change took " + micros / MICROS_PER_MILLISECOND + " ms");
        }
        Digest expected = client.expectedDigest(Scope.ALL);
        if (!client.digestAtWriter().equals(expected)) {
            violations.add("the writer does not hold what it accepted");
        }
        Set<String> digests = new TreeSet<>();
        for (HollowReport.SubscriberReport report : fleet.status()) {
            check(report);
            digests.add(report.services().isEmpty() ? report.digest() : "");
        }
        measured("digests", digests.size(), "count");
        measured("violations", violations.size(), "count");
    }

    private void check(HollowReport.SubscriberReport report) {
        Scope scope = new Scope(Set.copyOf(report.services()));
        if (!report.digest().equals(client.expectedDigest(scope).toString())) {
            violations.add(
                    report.name()
                            + " at "
                            + report.revision()
                            + " does not hold what was accepted");
        }
        if (report.wentBack() > 0) {
            violations.add(report.name() + " went back " + report.wentBack() + " times");
        }
    }
}
