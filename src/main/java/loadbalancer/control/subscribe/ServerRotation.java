package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;

/**
 * The order in which a subscriber connects to the servers, which is a random permutation that is
 * repeated cyclically. Subscribers are distributed evenly over the servers, and those of a failed
 * server evenly over the remaining ones. Not thread-safe.
 */
final class ServerRotation {
    private final int[] order;
    private int position;

    ServerRotation(int servers, RandomGenerator random) {
        order = new int[servers];
        for (int server = 0; server < servers; server++) {
            int swapIndex = random.nextInt(server + 1);
            order[server] = order[swapIndex];
            order[swapIndex] = server;
        }
    }

    /** Returns the index of the current server. */
    int current() {
        return order[position];
    }

    /** Selects the next server. */
    void advance() {
        position = (position + 1) % order.length;
    }
}
