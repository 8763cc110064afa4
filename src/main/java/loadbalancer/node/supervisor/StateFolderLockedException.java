package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown if another supervisor has locked the state folder. */
final class StateFolderLockedException extends IOException {
    private static final long serialVersionUID = 1;

    StateFolderLockedException(Path folder) {
        super("another supervisor has locked the state folder " + folder);
    }
}
