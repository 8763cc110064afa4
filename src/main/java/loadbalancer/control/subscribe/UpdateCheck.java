package loadbalancer.control.subscribe;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.VersionedResource;

/**
 * Checks a complete update in slices: each resource that it puts, then the services that it
 * touches. For one thread.
 */
final class UpdateCheck {
    private final StagedUpdate update;
    private final UpdateConsumer consumer;
    private final Deque<String> uncheckedServices;
    private final Iterator<String> servicesOfResources;
    private Iterator<VersionedResource> resources = Collections.emptyIterator();

    UpdateCheck(StagedUpdate update, UpdateConsumer consumer) {
        this.update = update;
        this.consumer = consumer;
        Set<String> services = update.services();
        this.uncheckedServices = new ArrayDeque<>(services);
        this.servicesOfResources = services.iterator();
    }

    /**
     * Checks up to that many more resources; true once all are checked.
     *
     * @throws InvalidChangeException with the first resource that is rejected
     */
    boolean run(int limit) throws InvalidChangeException {
        int left = limit;
        while (left > 0 && hasResource()) {
            checkResource(resources.next());
            left--;
        }
        if (left > 0 && !uncheckedServices.isEmpty()) {
            checkServices(nextServices(left, left == limit));
        }
        return !hasResource() && uncheckedServices.isEmpty();
    }

    private boolean hasResource() {
        while (!resources.hasNext() && servicesOfResources.hasNext()) {
            resources = update.putIn(servicesOfResources.next()).iterator();
        }
        return resources.hasNext();
    }

    private void checkResource(VersionedResource resource) throws InvalidChangeException {
        try {
            resource.resource().validate();
            consumer.check(resource);
        } catch (RuntimeException e) {
            throw new InvalidChangeException(resource.id().toString(), failure(e));
        }
    }

    /**
     * As many services as fit by their resources, and of a slice that has done nothing yet at least
     * one.
     */
    private Set<String> nextServices(int limit, boolean atLeastOne) {
        Set<String> services = new HashSet<>();
        int cost = 0;
        while (!uncheckedServices.isEmpty()) {
            cost += Math.max(1, update.costOf(uncheckedServices.peek()));
            if (cost > limit && !(atLeastOne && services.isEmpty())) {
                return services;
            }
            services.add(uncheckedServices.poll());
        }
        return services;
    }

    private void checkServices(Set<String> services) throws InvalidChangeException {
        if (services.isEmpty()) {
            return;
        }
        try {
            consumer.checkServices(update, services);
        } catch (RuntimeException e) {
            throw new InvalidChangeException("services of the update", failure(e));
        }
    }

    private static String failure(RuntimeException cause) {
        return "its check failed with " + cause.getClass().getSimpleName();
    }
}
