package loadbalancer.capacity;

import loadbalancer.LoadBalancer;

/** Actions that do nothing, for hosts of modules that do with a few of them. */
interface IdleActions extends LoadBalancer.Actions {
    @Override
    default void send(String request, String upstream, long timeout) {}

    @Override
    default void refuse(String request, long retryAfter) {}

    @Override
    default void fail(String request) {}

    @Override
    default void cancel(String request, int attempt) {}

    @Override
    default void probe(String upstream) {}

    @Override
    default void closeIdle(String upstream) {}

    @Override
    default void watch(boolean on) {}

    @Override
    default void fetch() {}

    @Override
    default void tell(int peer, byte[] body) {}

    @Override
    default void log(String text) {}
}
