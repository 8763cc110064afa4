package loadbalancer.lab.rollout;

/**
 * What the new program does.
 *
 * @param unserved share of its requests that fail on top
 * @param time factor on its answer times
 * @param attempts factor on its attempts
 * @param jam share of all requests that fail on top, at old and new alike, times the new's share of
 *     the fleet
 */
record Effect(String name, double unserved, double time, double attempts, double jam) {
    static final Effect SAME = new Effect("identical", 0, 1, 1, 0);
    static final Effect[] ALL = {
        SAME,
        new Effect("5% less served", 0.05, 1, 1, 0),
        new Effect("10% less served", 0.10, 1, 1, 0),
        new Effect("20% less served", 0.20, 1, 1, 0),
        new Effect("20% more time", 0, 1.2, 1, 0),
        new Effect("twice the attempts", 0, 1, 2, 0),
        new Effect("jams what all share", 0, 1, 1, 0.5)
    };
}
