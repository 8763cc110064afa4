package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;

/**
 * The order in which a subscriber connects to the servers: a random permutation, walked round and
 * round. Many subscribers spread evenly over the servers, and those of a lost server evenly over
 * the ones that are left. For one thread.
 */
final class ServerRotation {
    private final int[] order;
    private int position;

    ServerRotation(int servers, RandomGenerator random) {
        order = new int[servers];
        for (int server = 0; server < servers; server++) {
            int place = random.nextInt(server + 1);
            order[server] = order[place];
            order[place] = server;
        }
    }

    /** The server to use now. */
    int current() {
        return order[position];
    }

    /** Leaves the current server for the next. */
    void advance() {
        position = (position + 1) % order.length;
    }
}
