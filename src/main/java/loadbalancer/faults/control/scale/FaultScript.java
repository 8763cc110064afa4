package loadbalancer.faults.control.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Faults one after the other, and how long all subscribers took to be current after the end of
 * each.
 */
public final class FaultScript {
    private static final long KILLED_MILLIS = 5_000;
    private static final long STOPPED_MILLIS = 20_000;
    private static final long SILENT_MILLIS = 30_000;
    private static final long CUT_MILLIS = 120_000;
    private static final long ALL_KILLED_MILLIS = 10_000;

    private final ControlCluster cluster;
    private final HollowFleet fleet;
    private final Deadline deadline;
    private final double timeFactor;
    private final Function<String, Long> recoveryMicros;
    private final List<Recovery> recoveries = new ArrayList<>();

    /** Which faults are injected. */
    public enum Extent {
        /** None. */
        NONE,
        /** One follower is killed and started again. */
        ONE_FOLLOWER,
        /** Kills, stops, silence, a cut, a zone and all control machines. */
        ALL
    }

    /**
     * How long it took to be current after a fault.
     *
     * @param fault its name, as in the rows
     * @param micros from the end of the fault until the last subscriber was current
     */
    record Recovery(String fault, long micros) {}

    /**
     * Makes the script.
     *
     * @param timeFactor of the times that faults last; 1 for the full ones
     * @param recoveryMicros waits until all are current with what was accepted up to now, named in
     *     messages, and gives the time that it took
     */
    FaultScript(
            ControlCluster cluster,
            HollowFleet fleet,
            Deadline deadline,
            double timeFactor,
            Function<String, Long> recoveryMicros) {
        this.cluster = cluster;
        this.fleet = fleet;
        this.deadline = deadline;
        this.timeFactor = timeFactor;
        this.recoveryMicros = recoveryMicros;
    }

    List<Recovery> play(Extent extent) {
        if (extent != Extent.NONE) {
            killFollower();
        }
        if (extent == Extent.ALL) {
            stopFollower();
            silenceRack();
            killZone();
            cutHalf();
            killControl();
        }
        return List.copyOf(recoveries);
    }

    private void recovered(String fault) {
        recoveries.add(new Recovery(fault, recoveryMicros.apply(fault)));
    }

    private void pause(long millis) {
        deadline.pause((long) (millis * timeFactor));
    }

    private void killFollower() {
        cluster.killFollower(0);
        recovered("follower_killed");
        pause(KILLED_MILLIS);
        cluster.startFollower(0);
        recovered("follower_back");
    }

    private void stopFollower() {
        cluster.stopFollower(1);
        pause(STOPPED_MILLIS);
        cluster.wakeFollower(1);
        recovered("follower_woken");
    }

    private void silenceRack() {
        fleet.rack().silence();
        pause(SILENT_MILLIS);
        fleet.rack().heal();
        recovered("rack_silent");
    }

    private void killZone() {
        List<HollowGroup> zone = fleet.firstZone();
        zone.forEach(HollowGroup::kill);
        zone.forEach(HollowGroup::start);
        recovered("zone_back");
    }

    private void cutHalf() {
        List<HollowGroup> half = fleet.half();
        half.forEach(HollowGroup::cut);
        pause(CUT_MILLIS);
        half.forEach(HollowGroup::heal);
        recovered("half_cut");
    }

    private void killControl() {
        cluster.killAll();
        pause(ALL_KILLED_MILLIS);
        cluster.startAll();
        recovered("control_back");
    }
}
