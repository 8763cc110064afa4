package loadbalancer.lab.sim;

import loadbalancer.lab.scenario.Section;

/** What a server is by its kind, with this one's own speed. */
record Machine(
        String kind,
        int kindIndex,
        int zone,
        int cell,
        double speed,
        double nominal,
        int cores,
        int slots,
        int room,
        double coldFrom,
        long coldTime,
        boolean warmsByWork,
        long pauseEvery,
        long pause,
        double errorRate,
        boolean chokes) {

    static Machine of(
            Section kind, int kindIndex, int zone, int cell, double factor, boolean chokes) {
        int cores = kind.whole("cores");
        return new Machine(
                kind.name(),
                kindIndex,
                zone,
                cell,
                kind.number("speed") * factor,
                kind.number("speed"),
                cores,
                cores * kind.whole("slots_per_core"),
                cores * kind.whole("queue_per_core"),
                kind.number("cold_from"),
                kind.micros("cold_s"),
                kind.text("warm_by").equals("requests"),
                kind.micros("pause_every_s"),
                kind.micros("pause_ms"),
                kind.number("error_rate"),
                chokes);
    }

    /** Work in microseconds of a core of speed 1 that it does in a microsecond, when warm. */
    double power() {
        return speed * cores;
    }
}
