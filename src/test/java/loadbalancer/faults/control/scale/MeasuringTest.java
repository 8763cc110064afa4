package loadbalancer.faults.control.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.ChangeCheck;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import org.junit.jupiter.api.Test;

class MeasuringTest {
    private static final long SECOND = 1_000_000;

    @Test
    void theWorstTenSecondsSlide() {
        ByteMeter meter = new ByteMeter();
        meter.add(0, 100);
        meter.add(9 * SECOND, 50);
        meter.add(10 * SECOND, 70);
        meter.add(40 * SECOND, 10);
        assertEquals(230, meter.total());
        assertEquals(150, meter.worstTenSeconds());
        meter.reset();
        meter.add(41 * SECOND, 5);
        assertEquals(5, meter.worstTenSeconds());
    }

    @Test
    void aMergedUpdatePutsAllRevisionsBetweenInForce() {
        RevisionTimes times = new RevisionTimes();
        times.inForce(3, 5, 100);
        times.inForce(4, 5, 200);
        assertEquals(
                List.of(
                        new RevisionTimes.RevisionTime(4, 1, 100),
                        new RevisionTimes.RevisionTime(5, 2, 200)),
                times.list());
    }

    @Test
    void quantilesAreValuesThatWereMeasured() {
        List<Double> values = List.of(4.0, 1.0, 3.0, 2.0);
        assertEquals(2.0, Quantiles.of(values, 0.5));
        assertEquals(4.0, Quantiles.of(values, 0.99));
        assertEquals(4.0, Quantiles.of(values, 1));
        assertEquals(0.0, Quantiles.of(List.of(), 0.5));
    }

    @Test
    void theBaseStateHasTheSizeThatWasAskedFor() throws Exception {
        StateSize size = new StateSize(7, 30, 20, 100);
        ResourceState state = new ResourceState();
        ScaleChanges changes = new ScaleChanges(size, new SplittableRandom(1));
        Revision revision = new Revision(1, 0);
        for (Change change : changes.baseState()) {
            revision = revision.next();
            ChangeCheck.check(state, change);
            state.apply(revision, change);
        }
        assertEquals(size.resources(), state.size());
        for (int change = 0; change < 200; change++) {
            Change next = changes.next();
            ChangeCheck.check(state, next);
            revision = revision.next();
            state.apply(revision, next);
        }
        assertEquals(size.resources(), state.size());
    }
}
