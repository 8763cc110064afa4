package loadbalancer.node.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.RequestClass.DeduplicationScope;
import loadbalancer.control.model.RequestClass.RetrySafety;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.Upstream;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.node.Config;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.settings.SettingsReader;

/**
 * Settings of a local file, and resources of the service that the balancer under test subscribes
 * to.
 */
final class Samples {
    static final String SERVICE = "shop";

    private Samples() {}

    /**
     * Returns settings with the classes look and order, the tenants acme and bolt, and at most four
     * attempts.
     */
    static LoadedSettings file() throws Exception {
        String json =
                "{\"az\":0,\"localities\":[\"z\"],\"kinds\":[\"k\"],\"group-size\":1,\"classes\":["
                    + "{\"name\":\"look\",\"repeat\":\"free\",\"aim-s\":1,\"aim-stretch\":2,"
                    + "\"give-up-s\":20},"
                    + "{\"name\":\"order\",\"repeat\":\"single_shot\",\"aim-s\":1,\"give-up-s\":20}],"
                    + "\"parties\":[{\"name\":\"acme\",\"share\":0.6},{\"name\":\"bolt\",\"share\":0.4}],"
                    + "\"ceilings\":{\"try-limit\":4,\"cancel\":true,\"probes\":true,\"max-open\":100,"
                    + "\"connect-timeout-s\":0.25,\"conn-idle-s\":10},\"rules\":{\"start-capacity\":0.2},"
                    + "\"prices\":{},\"tick-s\":0.005}";
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            parser.nextToken();
            return SettingsReader.read(parser);
        }
    }

    /** Returns the configuration of a balancer with the settings of {@link #file}. */
    static Config config() throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
        return new Config(address, address, null, 0, 512, 0, EndpointListUpdate.EMPTY, file());
    }

    static Service service() {
        return new Service(SERVICE, List.of(), List.of());
    }

    static RequestClass requestClass(String name, double giveUpSeconds) {
        return new RequestClass(
                SERVICE,
                name,
                0.5,
                giveUpSeconds,
                3,
                0.1,
                RetrySafety.IDEMPOTENCY_KEY,
                DeduplicationScope.ZONE,
                7);
    }

    static Tenant tenant(String name) {
        return new Tenant(SERVICE, name, 12, 0.5);
    }

    static Limits limits(int maxAttempts) {
        return new Limits(SERVICE, maxAttempts, 50, true, 3, 0.5, 8);
    }

    static Upstream upstream(String name, Upstream.State state) {
        return new Upstream(SERVICE, name, "127.0.0.1:9001", "z", "k", 0, state, 1, 0);
    }

    /** Returns a state whose resources were all put by one change. */
    static ResourceState state(Revision revision, Resource... resources) {
        ResourceState state = new ResourceState();
        for (Resource resource : resources) {
            state.put(new VersionedResource(revision, resource));
        }
        state.advance(revision);
        return state;
    }
}
