package loadbalancer.faults.control;

/** What happened in a simulation, in numbers. */
final class SimulationCounters {
    int accepted;
    int refused;
    int crashes;
    int admitted;
    int deferred;
    int updatesInForce;
    int snapshotsInForce;
    int rejections;
    long bytesSent;

    @Override
    public String toString() {
        return accepted
                + " accepted, "
                + refused
                + " refused, "
                + crashes
                + " crashes, "
                + admitted
                + " admissions, "
                + deferred
                + " deferred, "
                + updatesInForce
                + " updates in force, "
                + snapshotsInForce
                + " snapshots, "
                + rejections
                + " rejected, "
                + bytesSent
                + " bytes";
    }
}
