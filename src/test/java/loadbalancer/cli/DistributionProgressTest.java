package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.DistributionStatus.Rejection;
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.http1.control.ControlStatus;
import org.junit.jupiter.api.Test;

/** Tests where a revision counts as in force, by the reports of control servers and their age. */
class DistributionProgressTest {
    private static final Revision OLD = new Revision(1, 1);
    private static final Revision NEW = new Revision(1, 2);

    private static DistributionStatus distribution(
            Revision latest, Revision oldest, Rejection... rejections) {
        return new DistributionStatus(latest, 2, 1, 1, oldest, List.of(rejections));
    }

    private static DistributionProgress progress(
            DistributionStatus writer, long ageMillis, DistributionStatus follower) {
        ControlStatus status =
                new ControlStatus(
                        "w",
                        "writer",
                        NEW,
                        Digest.EMPTY,
                        0,
                        writer,
                        List.of(new ControlServerReport("f", ageMillis, follower)));
        return new DistributionProgress(status, NEW);
    }

    @Test
    void isInForceWhereAllSubscribersHaveItOrALaterOne() {
        DistributionProgress progress =
                progress(distribution(NEW, NEW), 900, distribution(NEW.next(), NEW.next()));
        assertTrue(progress.isInForceEverywhere());
        assertEquals(List.of(), progress.behind());
        assertEquals(4, progress.subscribers());
    }

    @Test
    void namesSubscriberOrFollowerThatIsBehind() {
        assertEquals(
                List.of("w is at 1.2, 1 of its 2 subscribers behind that, the oldest at 1.1"),
                progress(distribution(NEW, OLD), 0, distribution(NEW, NEW)).behind());
        DistributionProgress progress = progress(distribution(NEW, NEW), 0, distribution(OLD, OLD));
        assertFalse(progress.isInForceEverywhere());
        assertEquals(
                List.of("f is at 1.1, 1 of its 2 subscribers behind that, the oldest at 1.1"),
                progress.behind());
    }

    @Test
    void isNotInForceEverywhereIfFollowerHasNotReported() {
        DistributionProgress progress =
                progress(
                        distribution(NEW, NEW),
                        DistributionProgress.MAX_REPORT_AGE_MILLIS + 1,
                        distribution(NEW, NEW));
        assertFalse(progress.isInForceEverywhere());
        assertEquals(List.of("f has not reported for 12.0 s"), progress.behind());
    }

    @Test
    void countsOnlyRejectionsOfTheRevisionOrLaterOnes() {
        Rejection before = new Rejection("b1", OLD, "tenant a/t", "no");
        Rejection after = new Rejection("b2", NEW.next(), "tenant a/t", "no room");
        assertEquals(
                List.of("b2 refused 1.3: tenant a/t: no room"),
                progress(distribution(NEW, NEW, before), 0, distribution(NEW, NEW, after))
                        .rejections());
    }
}
