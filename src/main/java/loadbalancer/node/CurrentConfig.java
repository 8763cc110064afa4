package loadbalancer.node;

/** The configuration in force, replaced by each accepted reload; on the loop. */
final class CurrentConfig {
    private Config config;

    CurrentConfig(Config initial) {
        config = initial;
    }

    Config get() {
        return config;
    }

    void set(Config next) {
        config = next;
    }
}
