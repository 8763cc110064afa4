package loadbalancer.control.subscribe;

import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * Checks that the fields of a part are there and that its resources belong to the subscriber's
 * scope.
 */
final class PartCheck {
    private PartCheck() {}

    /**
     * Checks one part.
     *
     * @throws SubscriptionException if a field is missing or a resource is outside the scope
     */
    static void check(UpdatePart part, Scope scope) throws SubscriptionException {
        if (part.isLast()
                && (part.completion().to() == null || part.completion().digest() == null)) {
            throw new SubscriptionException("a completion lacks its revision or digest");
        }
        for (VersionedResource put : part.put()) {
            if (put.revision() == null || put.resource() == null) {
                throw new SubscriptionException("a resource lacks its revision or content");
            }
            checkId(put.id(), scope);
        }
        for (ResourceId deleted : part.delete()) {
            checkId(deleted, scope);
        }
    }

    private static void checkId(ResourceId id, Scope scope) throws SubscriptionException {
        if (id.kind() == null || id.service() == null || id.name() == null) {
            throw new SubscriptionException("a resource lacks its kind, service or name");
        }
        if (!scope.covers(id.service())) {
            throw new SubscriptionException(id + " was not subscribed to");
        }
    }
}
