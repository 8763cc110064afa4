package loadbalancer.lab.baseline;

import loadbalancer.LoadBalancer.Upstream;

/** What a yardstick knows of one ready server. */
final class Candidate {
    Upstream entry;
    int inFlight;

    /** Peak-sensitive moving average of answer times, in microseconds; 0 before the first. */
    double cost;

    long costAt;

    Candidate(Upstream entry) {
        this.entry = entry;
    }

    String id() {
        return entry.id();
    }

    double weight() {
        return entry.rating() > 0 ? entry.rating() : 1;
    }
}
