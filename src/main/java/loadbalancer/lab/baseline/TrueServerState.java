package loadbalancer.lab.baseline;

/** What no balancer can see: the true state of a server at this instant. */
public interface TrueServerState {
    /**
     * Expected time in microseconds until a request of that much work, sent now, would be served;
     * infinite if the server is dead, full or never answers.
     *
     * @param work the request's work in microseconds of a core of speed 1
     */
    double timeToServe(String server, double work);

    /** The true work of an open request, in microseconds of a core of speed 1. */
    double workOf(String request);
}
