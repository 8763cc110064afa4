package loadbalancer.capacity;

/** Measures something at several sizes, once for each call. */
public interface Measurement {
    /** What it measures, in a line. */
    String description();

    /** Measures each size once. */
    void run(Recorder recorder) throws Exception;
}
