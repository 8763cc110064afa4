package loadbalancer.adapter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.LoadBalancer;
import loadbalancer.settings.LoadedSettings;

/**
 * Load balancers by instance number. Instances share no state; an exception that one of them throws
 * is reported as a bug of that instance and does not affect the others.
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

    /** Creates and starts the load balancer of an instance; replaces an existing one. */
    void create(int instance, long nowMicros, long seed, LoadedSettings loaded) {
        reportValueNames.put(instance, loaded.reportValueNames());
        runReportingBugs(
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

    /**
     * Returns the names of the values in an instance's load reports; null if the instance was not
     * created or has been destroyed.
     */
    List<String> reportValueNames(int instance) {
        return reportValueNames.get(instance);
    }

    /**
     * Passes an event to the load balancer of an instance.
     *
     * @throws UnknownInstanceException if the instance does not exist
     */
    void deliver(int instance, Consumer<LoadBalancer> event) throws UnknownInstanceException {
        LoadBalancer balancer = balancers.get(instance);
        if (balancer == null) {
            throw new UnknownInstanceException(instance);
        }
        runReportingBugs(instance, () -> event.accept(balancer));
    }

    private void runReportingBugs(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportBug(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
