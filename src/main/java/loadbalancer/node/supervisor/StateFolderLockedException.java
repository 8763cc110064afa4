package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** Another supervisor holds the state folder. */
final class StateFolderLockedException extends IOException {
    private static final long serialVersionUID = 1;

    StateFolderLockedException(Path folder) {
        super("another supervisor holds " + folder);
    }
}
