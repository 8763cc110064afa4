package loadbalancer.lab.sim;

/** One attempt of a request at one server. */
final class Attempt {
    final Try of;
    final int number;
    final Server server;
    final String upstream;
    final long sentAt;

    /** Its outcome has been told, or is on its way. */
    boolean done;

    Job job;

    /** A connection carries it; the server's life at the time says whether that is still of use. */
    int connection = -1;

    Attempt(Try of, int number, Server server, String upstream, long sentAt) {
        this.of = of;
        this.number = number;
        this.server = server;
        this.upstream = upstream;
        this.sentAt = sentAt;
    }
}
