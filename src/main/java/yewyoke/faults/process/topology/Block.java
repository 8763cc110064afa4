package yewyoke.faults.process.topology;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import yewyoke.faults.process.RigFailure;

/**
 * A block of 256 addresses in 127/8 that this run has for itself, so that ports can be told before anybody
 * listens and no other run, and no connection of the system's choosing, is in the way. A socket that listens
 * at the first address holds it.
 */
final class Block implements AutoCloseable {
    /** Below what the system deals out by itself. */
    private static final int HOLD_PORT = 6_999;
    private static final int FIRST = 64;
    private static final int LAST = 126;

    private final int high;
    private final int middle;
    private final ServerSocket held;

    private Block(int high, int middle, ServerSocket held) {
        this.high = high;
        this.middle = middle;
        this.held = held;
    }

    /** Takes the first that is free. */
    static Block claim() {
        for (int high = FIRST; high <= LAST; high++) {
            for (int middle = 0; middle < 256; middle++) {
                try {
                    ServerSocket socket = new ServerSocket(HOLD_PORT, 1,
                            InetAddress.getByAddress(new byte[] {127, (byte) high, (byte) middle, 1}));
                    return new Block(high, middle, socket);
                } catch (IOException e) {
                    // another run's
                }
            }
        }
        throw new RigFailure("no block of loopback addresses is free");
    }

    InetSocketAddress at(int low, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, (byte) high, (byte) middle,
                (byte) low}), port);
        } catch (IOException e) {
            throw new RigFailure("not an address", e);
        }
    }

    @Override public void close() throws IOException {
        held.close();
    }
}
