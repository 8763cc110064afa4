package loadbalancer.faults.control.scale;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/** The file of one control machine; limits stay as they are by default. */
final class ControlFileText {
    private ControlFileText() {}

    /** Of the writer. */
    static String ofWriter(String name, InetSocketAddress address, Path folder) {
        return common("writer", name, address, folder);
    }

    /** Of a machine that follows another. */
    static String ofFollower(
            String name, InetSocketAddress address, Path folder, InetSocketAddress follows) {
        return common("follower", name, address, folder) + "follow = [\"" + text(follows) + "\"]\n";
    }

    private static String common(String role, String name, InetSocketAddress address, Path folder) {
        return "role = \""
                + role
                + "\"\n"
                + "name = \""
                + name
                + "\"\n"
                + "listen = \""
                + text(address)
                + "\"\n"
                + "folder = \""
                + folder
                + "\"\n";
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
