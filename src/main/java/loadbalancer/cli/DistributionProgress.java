package loadbalancer.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.MachineReport;

/**
 * Progress of a revision's distribution by the writer's status. Immutable.
 *
 * @param status of the writer
 * @param revision whose progress it is
 */
record DistributionProgress(ControlStatus status, Revision revision) {
    /** Followers report every 5 s; one that is silent for longer may have lost the writer. */
    static final long MAX_REPORT_AGE_MILLIS = 12_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Whether the revision or a later one is in force at all subscribers of all machines. */
    boolean isInForceEverywhere() {
        return isInForce(status.distribution())
                && status.followers().stream()
                        .allMatch(report -> !isOld(report) && isInForce(report.distribution()));
    }

    private boolean isInForce(DistributionStatus distribution) {
        return !revision.isAfter(distribution.latest())
                && !revision.isAfter(distribution.oldestInForce());
    }

    private static boolean isOld(MachineReport report) {
        return report.ageMillis() > MAX_REPORT_AGE_MILLIS;
    }

    /** A line for each subscriber that has rejected the revision or a later one. */
    List<String> rejections() {
        return distributions()
                .flatMap(distribution -> distribution.rejections().stream())
                .filter(rejection -> !revision.isAfter(rejection.revision()))
                .map(DistributionProgress::line)
                .toList();
    }

    /** One rejection as a line. */
    static String line(DistributionStatus.Rejection rejection) {
        return rejection.subscriber()
                + " refused "
                + rejection.revision()
                + ": "
                + rejection.place()
                + ": "
                + rejection.reason();
    }

    private Stream<DistributionStatus> distributions() {
        return Stream.concat(
                Stream.of(status.distribution()),
                status.followers().stream().map(MachineReport::distribution));
    }

    /**
     * Number of connected subscribers of all machines; a follower counts as one of the writer's.
     */
    int subscribers() {
        return distributions().mapToInt(DistributionStatus::subscribers).sum();
    }

    /** A line for each machine that lacks the revision or has a subscriber with an older one. */
    List<String> behind() {
        List<String> behind = new ArrayList<>();
        addIfBehind(behind, status.machine(), status.distribution());
        for (MachineReport report : status.followers()) {
            if (isOld(report)) {
                behind.add(
                        String.format(
                                Locale.ROOT,
                                "%s has said nothing for %.1f s",
                                report.machine(),
                                report.ageMillis() / MILLIS_PER_SECOND));
            } else {
                addIfBehind(behind, report.machine(), report.distribution());
            }
        }
        return behind;
    }

    private void addIfBehind(List<String> behind, String machine, DistributionStatus distribution) {
        if (!isInForce(distribution)) {
            behind.add(
                    machine
                            + " is at "
                            + distribution.latest()
                            + ", "
                            + distribution.behind()
                            + " of its "
                            + distribution.subscribers()
                            + " subscribers behind that, the last at "
                            + distribution.oldestInForce());
        }
    }
}
