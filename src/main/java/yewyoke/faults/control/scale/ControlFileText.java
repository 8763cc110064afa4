package yewyoke.faults.control.scale;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/** The file of one control machine. */
final class ControlFileText {
    private ControlFileText() { }

    /** {@code follows} is null for the writer. */
    static String of(String name, InetSocketAddress address, Path folder, InetSocketAddress follows) {
        throw new UnsupportedOperationException("not there yet");
    }
}
