package loadbalancer.lab.baseline;

import loadbalancer.EndpointDescriptor;

/** What a yardstick knows of one ready server. */
final class Candidate {
    EndpointDescriptor entry;
    int inFlight;

    /** Peak-sensitive moving average of answer times, in microseconds; 0 before the first. */
    double cost;

    long costAt;

    Candidate(EndpointDescriptor entry) {
        this.entry = entry;
    }

    String id() {
        return entry.id();
    }

    double weight() {
        return entry.capacityWeight() > 0 ? entry.capacityWeight() : 1;
    }
}
