package loadbalancer.lab.sim;

/**
 * What a server did, kept apart from how it does it: for load over time, and for two checks of the
 * emulator itself, Little's law and the conservation of work.
 */
final class Gauge {
    /** Work done since the start, in microseconds of a core of speed 1. */
    double done;

    double busyTotal;
    long turnedAway;
    long fellOver;
    long pushedOver;
    long choked;
    private double busySince;
    private double accepted;
    private double dropped;
    private long present;
    private long changedAt;

    /** Integral of the number present over time, and the sum of all times spent here. */
    private double presence;

    private double stays;
    private long entries;

    void entered(Job job, long now) {
        count(now, 1);
        accepted += job.work;
        entries++;
    }

    /** {@code left}: work that was not done any more. */
    void left(Job job, long now, double left) {
        count(now, -1);
        stays += now - job.arrivedAt;
        dropped += job.running || job.finish > 0 ? Math.max(0, left) : job.work;
    }

    private void count(long now, int by) {
        presence += (double) present * (now - changedAt);
        changedAt = now;
        present += by;
    }

    void advance(long span, double busyCores, double workRate) {
        busySince += busyCores * span;
        busyTotal += busyCores * span;
        done += workRate * span;
    }

    /** Busy core time since the last call. */
    double takeBusy() {
        double busy = busySince;
        busySince = 0;
        return busy;
    }

    long present() {
        return present;
    }

    /** Little's law, L = lambda W, as the two integrals that must be equal once nobody is left. */
    double littleError() {
        return present > 0 ? Double.NaN : Math.abs(presence - stays) / Math.max(1, stays);
    }

    /** Work taken on against work done and dropped, once nobody is left. */
    double workError() {
        return present > 0
                ? Double.NaN
                : Math.abs(accepted - done - dropped) / Math.max(1, accepted);
    }

    double meanStay() {
        return entries == 0 ? 0 : stays / entries;
    }
}
