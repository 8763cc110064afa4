package loadbalancer.adapter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.LoadBalancer;
import loadbalancer.settings.LoadedSettings;

/**
 * The load balancers by the numbers of their instances. They share nothing, and an exception that
 * one of them throws is reported as its bug and touches no other.
 */
final class Instances {
    private final Map<Integer, LoadBalancer> balancers = new HashMap<>();
    private final Map<Integer, List<String>> reportValueNames = new HashMap<>();
    private final Adapter.InstanceFactory factory;
    private final ReplyWriter reply;

    Instances(Adapter.InstanceFactory factory, ReplyWriter reply) {
        this.factory = factory;
        this.reply = reply;
    }

    /** Creates and starts the load balancer of an instance, in place of one that it had. */
    void create(int instance, long nowMicros, long seed, LoadedSettings loaded) {
        reportValueNames.put(instance, loaded.reportValueNames());
        reportingBugs(
                instance,
                () -> {
                    LoadBalancer balancer =
                            factory.create(loaded.settings(), seed, reply.actionsOf(instance));
                    balancers.put(instance, balancer);
                    balancer.start(nowMicros);
                });
    }

    void destroy(int instance) {
        balancers.remove(instance);
        reportValueNames.remove(instance);
    }

    /** Returns the names of the values of its load reports; null if it was not created. */
    List<String> reportValueNames(int instance) {
        return reportValueNames.get(instance);
    }

    /**
     * Hands an event to the load balancer of an instance.
     *
     * @throws UnknownInstanceException if there is none
     */
    void deliver(int instance, Consumer<LoadBalancer> event) throws UnknownInstanceException {
        LoadBalancer balancer = balancers.get(instance);
        if (balancer == null) {
            throw new UnknownInstanceException(instance);
        }
        reportingBugs(instance, () -> event.accept(balancer));
    }

    private void reportingBugs(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportBug(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
