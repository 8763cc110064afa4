package loadbalancer.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.http1.control.ControlStatus;

/**
 * Progress of a revision's distribution, derived from the writer's status. Immutable.
 *
 * @param status status of the writer
 * @param revision revision whose distribution is observed
 */
record DistributionProgress(ControlStatus status, Revision revision) {
    /**
     * Maximum age of a follower's report. Followers report every 5 s; one with an older report may
     * have lost its connection to the writer.
     */
    static final long MAX_REPORT_AGE_MILLIS = 12_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns whether all subscribers of all servers have the revision or a later one in force. */
    boolean isInForceEverywhere() {
        return isInForce(status.distribution())
                && status.followers().stream()
                        .allMatch(report -> !isOld(report) && isInForce(report.distribution()));
    }

    private boolean isInForce(DistributionStatus distribution) {
        return !revision.isAfter(distribution.latest())
                && !revision.isAfter(distribution.oldestInForce());
    }

    private static boolean isOld(ControlServerReport report) {
        return report.ageMillis() > MAX_REPORT_AGE_MILLIS;
    }

    /** Returns one line for each subscriber that rejected the revision or a later one. */
    List<String> rejections() {
        return distributions()
                .flatMap(distribution -> distribution.rejections().stream())
                .filter(rejection -> !revision.isAfter(rejection.revision()))
                .map(DistributionProgress::describe)
                .toList();
    }

    /** Returns one line that describes a rejection. */
    static String describe(DistributionStatus.Rejection rejection) {
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
                status.followers().stream().map(ControlServerReport::distribution));
    }

    /**
     * Returns the number of connected subscribers of all control servers. Each follower is counted
     * as a subscriber of the writer.
     */
    int subscribers() {
        return distributions().mapToInt(DistributionStatus::subscribers).sum();
    }

    /**
     * Returns one line for each control server that lacks the revision, or whose subscribers do not
     * all have it.
     */
    List<String> behind() {
        List<String> behind = new ArrayList<>();
        addIfBehind(behind, status.machine(), status.distribution());
        for (ControlServerReport report : status.followers()) {
            if (isOld(report)) {
                behind.add(
                        String.format(
                                Locale.ROOT,
                                "%s has not reported for %.1f s",
                                report.machine(),
                                report.ageMillis() / MILLIS_PER_SECOND));
            } else {
                addIfBehind(behind, report.machine(), report.distribution());
            }
        }
        return behind;
    }

    private void addIfBehind(List<String> behind, String server, DistributionStatus distribution) {
        if (!isInForce(distribution)) {
            behind.add(
                    server
                            + " is at "
                            + distribution.latest()
                            + ", "
                            + distribution.behind()
                            + " of its "
                            + distribution.subscribers()
                            + " subscribers behind that, the oldest at "
                            + distribution.oldestInForce());
        }
    }
}
