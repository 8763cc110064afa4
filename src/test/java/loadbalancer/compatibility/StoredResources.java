package loadbalancer.compatibility;

import java.util.List;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Route;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.Upstream;

/** The resources in the stored control files, one or more of each kind. */
public final class StoredResources {
    /** The digest of {@link #ALL} at revision 2.7, as the earlier version computed it. */
    public static final String DIGEST = "6a326027a386111a";

    /** All resources. */
    public static final List<Resource> ALL =
            List.of(
                    new Service("shop", List.of("a", "b"), List.of("large")),
                    new Upstream(
                            "shop",
                            "u1",
                            "10.0.0.1:8080",
                            "a",
                            "large",
                            2,
                            Upstream.State.DRAINING,
                            1.25,
                            1_767_225_600_123L),
                    new RequestClass(
                            "shop",
                            "push",
                            0.5,
                            3,
                            5,
                            0.25,
                            RequestClass.RetrySafety.IDEMPOTENCY_KEY,
                            RequestClass.DeduplicationScope.ZONE,
                            7),
                    new RequestClass(
                            "shop",
                            "lookup",
                            0.1,
                            1.5,
                            1,
                            0,
                            RequestClass.RetrySafety.IDEMPOTENT,
                            RequestClass.DeduplicationScope.ALL,
                            0),
                    new Route("shop", "r1", "shop.example", "/push", "push"),
                    new Tenant("shop", "acme", 50, 0.25),
                    new Limits("shop", 3, 400, true, 2.5, 0.25, 30));

    private StoredResources() {}
}
