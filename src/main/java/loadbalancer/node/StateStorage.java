package loadbalancer.node;

import java.util.concurrent.Executor;
import loadbalancer.snapshot.Storage;

/**
 * The storage of a balancer's state.
 *
 * @param disk storage of the files; null if no state is stored
 * @param writer executor for blocking file operations, which must not run on the event loop; also
 *     for files that are shared with a sibling process
 */
public record StateStorage(Storage disk, Executor writer) {
    /** No storage, and no thread of its own: for tests and tools. */
    public static final StateStorage NONE = new StateStorage(null, Runnable::run);
}
