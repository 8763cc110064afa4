package loadbalancer.node;

import java.util.concurrent.Executor;
import loadbalancer.snapshot.Storage;

/**
 * Where a balancer keeps what it knows.
 *
 * @param disk null for nowhere
 * @param writer what waits for the disk in the loop's place
 */
public record StateStorage(Storage disk, Executor writer) {
    /** Nothing is kept, and nothing recalled. */
    public static final StateStorage NONE = new StateStorage(null, Runnable::run);
}
