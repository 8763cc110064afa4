package loadbalancer.faults.process.topology;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.faults.process.RigFailure;

/**
 * A block of 256 addresses in 127/8 that this run has for itself, so that ports can be told before
 * anybody listens and no other run, and no connection of the system's choosing, is in the way. A
 * socket that listens at the first address holds it.
 */
final class Block implements AutoCloseable {
    /** Below what the system deals out by itself. */
    private static final int HOLD_PORT = 6_999;

    private static final int FIRST = 64;
    private static final int LAST = 126;
    private static final int BLOCKS = (LAST - FIRST + 1) * 256;

    /**
     * Processes whose numbers follow one another begin so far apart: more runs than one of them
     * plays.
     */
    private static final int APART = 97;

    private static final AtomicLong CLAIMED = new AtomicLong();

    private final int high;
    private final int middle;
    private final ServerSocket held;

    private Block(int high, int middle, ServerSocket held) {
        this.high = high;
        this.middle = middle;
        this.held = held;
    }

    /**
     * Takes one that is free. Where the search begins differs by process and by run: what a run
     * before this one had may not be given back by the system yet, and two runs that begin at one
     * time stay apart.
     */
    static Block claim() {
        long begin = ProcessHandle.current().pid() * APART + CLAIMED.getAndIncrement();
        for (int i = 0; i < BLOCKS; i++) {
            int number = (int) Math.floorMod(begin + i, (long) BLOCKS);
            int high = FIRST + number / 256;
            int middle = number % 256;
            try {
                ServerSocket socket =
                        new ServerSocket(
                                HOLD_PORT,
                                1,
                                InetAddress.getByAddress(
                                        new byte[] {127, (byte) high, (byte) middle, 1}));
                return new Block(high, middle, socket);
            } catch (IOException e) {
                // another run's
            }
        }
        throw new RigFailure("no block of loopback addresses is free");
    }

    InetSocketAddress at(int low, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(
                            new byte[] {127, (byte) high, (byte) middle, (byte) low}),
                    port);
        } catch (IOException e) {
            throw new RigFailure("not an address", e);
        }
    }

    @Override
    public void close() throws IOException {
        held.close();
    }
}
