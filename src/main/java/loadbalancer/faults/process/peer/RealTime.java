package loadbalancer.faults.process.peer;

/** The one clock of the rig; all logs go by it. */
public final class RealTime {
    private RealTime() {}

    /** Microseconds since some moment; only advances. */
    public static long micros() {
        return System.nanoTime() / 1_000;
    }

    /** Unix time in milliseconds. */
    public static long wallMillis() {
        return System.currentTimeMillis();
    }
}
