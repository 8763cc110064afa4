package loadbalancer.lab.sim;

/** Real time that the balancers' own code took in a run, in nanoseconds. It goes into no result. */
final class Stopwatch {
    long spent;
}
