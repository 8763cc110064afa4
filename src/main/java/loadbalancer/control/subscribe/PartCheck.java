package loadbalancer.control.subscribe;

import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * Checks that a part has all required fields and that its resources belong to the subscriber's
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
            throw new SubscriptionException("completion: field \"to\" or \"digest\" is missing");
        }
        for (VersionedResource put : part.put()) {
            if (put.revision() == null || put.resource() == null) {
                throw new SubscriptionException(
                        "put: field \"revision\" or \"resource\" is missing");
            }
            checkId(put.id(), scope);
        }
        for (ResourceId deleted : part.delete()) {
            checkId(deleted, scope);
        }
    }

    private static void checkId(ResourceId id, Scope scope) throws SubscriptionException {
        if (id.kind() == null || id.service() == null || id.name() == null) {
            throw new SubscriptionException(
                    "resource identifier: kind, service or name is missing");
        }
        if (!scope.covers(id.service())) {
            throw new SubscriptionException(id + " is outside the subscribed scope");
        }
    }
}
