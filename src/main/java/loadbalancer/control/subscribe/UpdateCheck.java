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
 * Checks a complete update in slices: first each resource that it puts, then the services with
 * changed resources. Not thread-safe.
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
     * Checks up to {@code limit} more resources; returns whether all are checked.
     *
     * @throws InvalidChangeException with the first resource or service that is rejected
     */
    boolean run(int limit) throws InvalidChangeException {
        int remaining = limit;
        while (remaining > 0 && hasResource()) {
            checkResource(resources.next());
            remaining--;
        }
        if (remaining > 0 && !uncheckedServices.isEmpty()) {
            checkServices(nextServices(remaining, remaining == limit));
        }
        return !hasResource() && uncheckedServices.isEmpty();
    }

    private boolean hasResource() {
        while (!resources.hasNext() && servicesOfResources.hasNext()) {
            resources = update.putResources(servicesOfResources.next()).iterator();
        }
        return resources.hasNext();
    }

    private void checkResource(VersionedResource resource) throws InvalidChangeException {
        try {
            resource.resource().validate();
            consumer.check(resource);
        } catch (RuntimeException e) {
            throw new InvalidChangeException(resource.id().toString(), describeFailure(e));
        }
    }

    /**
     * Removes and returns as many unchecked services as the limit allows by their resources, and at
     * least one if {@code atLeastOne} is set.
     */
    private Set<String> nextServices(int limit, boolean atLeastOne) {
        Set<String> services = new HashSet<>();
        int cost = 0;
        while (!uncheckedServices.isEmpty()) {
            cost += Math.max(1, update.checkCost(uncheckedServices.peek()));
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
            throw new InvalidChangeException("services of the update", describeFailure(e));
        }
    }

    private static String describeFailure(RuntimeException cause) {
        return "its check failed with " + cause.getClass().getSimpleName();
    }
}
