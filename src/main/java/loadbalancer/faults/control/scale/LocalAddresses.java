package loadbalancer.faults.control.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Addresses on the loopback network that are this run's own. */
final class LocalAddresses {
    private static final int BYTE = 0xff;
    private static final int FIRST_NETWORK = 64;

    private final long pid = ProcessHandle.current().pid();

    /** An address on a host of its own with a port that is free now. */
    InetSocketAddress free(int host) {
        String address =
                "127." + (FIRST_NETWORK + host) + "." + (pid >> 8 & BYTE) + "." + (1 + pid % 250);
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return new InetSocketAddress(address, socket.getLocalPort());
        } catch (IOException e) {
            throw new ScaleFailure("no free port at " + address, e);
        }
    }
}
