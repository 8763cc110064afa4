package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.DistributionStatus.Rejection;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.MachineReport;
import org.junit.jupiter.api.Test;

/** Where a revision is in force, by what machines have said and how long ago. */
class DistributionProgressTest {
    private static final Revision OLD = new Revision(1, 1);
    private static final Revision NEW = new Revision(1, 2);

    private static DistributionStatus at(
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
                        List.of(new MachineReport("f", ageMillis, follower)));
        return new DistributionProgress(status, NEW);
    }

    @Test
    void aRevisionIsInForceWhereAllHaveItOrALaterOne() {
        DistributionProgress progress = progress(at(NEW, NEW), 900, at(NEW.next(), NEW.next()));
        assertTrue(progress.isInForceEverywhere());
        assertEquals(List.of(), progress.behind());
        assertEquals(4, progress.subscribers());
    }

    @Test
    void oneSubscriberOrFollowerBehindIsNamed() {
        assertEquals(
                List.of("w is at 1.2, 1 of its 2 subscribers behind that, the last at 1.1"),
                progress(at(NEW, OLD), 0, at(NEW, NEW)).behind());
        DistributionProgress progress = progress(at(NEW, NEW), 0, at(OLD, OLD));
        assertFalse(progress.isInForceEverywhere());
        assertEquals(
                List.of("f is at 1.1, 1 of its 2 subscribers behind that, the last at 1.1"),
                progress.behind());
    }

    @Test
    void aFollowerThatIsSilentCountsForNothing() {
        DistributionProgress progress =
                progress(
                        at(NEW, NEW), DistributionProgress.MAX_REPORT_AGE_MILLIS + 1, at(NEW, NEW));
        assertFalse(progress.isInForceEverywhere());
        assertEquals(List.of("f has said nothing for 12.0 s"), progress.behind());
    }

    @Test
    void onlyRefusalsOfThatRevisionOrLaterOnesCount() {
        Rejection before = new Rejection("b1", OLD, "tenant a/t", "no");
        Rejection after = new Rejection("b2", NEW.next(), "tenant a/t", "no room");
        assertEquals(
                List.of("b2 refused 1.3: tenant a/t: no room"),
                progress(at(NEW, NEW, before), 0, at(NEW, NEW, after)).rejections());
    }
}
