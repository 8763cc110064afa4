package loadbalancer.node;

/**
 * Holds the configuration in force, which each accepted reload replaces. Used on the event loop.
 */
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
