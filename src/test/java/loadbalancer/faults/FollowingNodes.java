package loadbalancer.faults;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancer;
import loadbalancer.ReweightingLoadBalancer;
import loadbalancer.lab.sim.Streams;
import loadbalancer.node.Config;
import loadbalancer.node.Node;
import loadbalancer.node.SiblingProcess;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Whole balancers in virtual time that follow a scripted discovery, and what their modules hear of
 * it.
 */
final class FollowingNodes {
    static final InetSocketAddress DISCOVERY = VirtualWorld.address(3, 1, 9500);

    /** An event of the list at one module; times in microseconds. */
    record Heard(
            int node, long at, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {}

    final Timeline timeline = new Timeline(() -> {});
    final VirtualNetwork network;
    final ScriptedDiscovery discovery = new ScriptedDiscovery(timeline);
    final Host host = new Host("discovery");
    final List<Heard> heard = new ArrayList<>();
    final List<VirtualTransport> transports = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    InetSocketAddress at = DISCOVERY;
    private final String mode;
    private final Streams streams;

    /** {@code mode} is the setting: {@code pushed} or {@code on_request}. */
    FollowingNodes(long seed, String mode) {
        this.mode = mode;
        streams = new Streams(seed);
        UniformRandomProvider weather = streams.of("network");
        network = new VirtualNetwork(timeline, weather);
        network.quality(200, 300, 0);
        network.listen(host, DISCOVERY, discovery);
    }

    static String entry(String id, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\"127.0.2.1:"
                + (9000 + id.hashCode() % 100)
                + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String list(int version, boolean full, String... entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}";
    }

    /** Starts one more that knows the list of version 41 with the upstreams a and b. */
    void start() throws Exception {
        int number = nodes.size();
        VirtualTransport transport =
                new VirtualTransport(
                        timeline,
                        network,
                        new Host("balancer" + number),
                        streams.seedOf("node/" + number));
        transports.add(transport);
        Node node =
                Node.create(
                        () -> Config.parse(config(number).getBytes(StandardCharsets.UTF_8)),
                        transport,
                        new ProcessMetrics(),
                        listen -> ALONE,
                        StateStorage.NONE,
                        modules(number));
        nodes.add(node);
        node.startListening();
    }

    private static final SiblingProcess ALONE =
            new SiblingProcess() {
                @Override
                public boolean isRunning() {
                    return false;
                }

                @Override
                public boolean isListening() {
                    return false;
                }

                @Override
                public void setListening(boolean does) {}

                @Override
                public void close() {}
            };

    private String config(int number) {
        return "{\"listen\":\"127.0.1."
                + (number + 1)
                + ":9600\",\"discovery\":\""
                + at.getAddress().getHostAddress()
                + ":"
                + at.getPort()
                + "\",\"seed\":\""
                + Long.toHexString(streams.seedOf("module/" + number) & 0xFFFF)
                + "\",\"limits\":{\"sockets\":512},\"known\":"
                + list(41, true, entry("a", "Ready"), entry("b", "Ready"))
                + ",\"settings\":{\"az\":0,\"localities\":[\"z\"],\"kinds\":[\"k\"],"
                + "\"position\":0,\"group-size\":1,"
                + "\"classes\":[{\"name\":\"lookup\",\"repeat\":\"free\",\"dedup-scope\":\"all\","
                + "\"memory-span-s\":1,\"aim-s\":0.5,\"give-up-s\":2,\"worth\":1,\"late-worth\":0.5}],"
                + "\"parties\":[{\"name\":\"acme\",\"share\":1}],\"over-share-worth\":1,"
                + "\"ceilings\":{\"try-limit\":3,\"may-duplicate\":false,\"cancel\":true,"
                + "\"probes\":false,\"peers\":false,\"max-open\":200,\"retry-after\":false,"
                + "\"max-retry-after-s\":0,\"multiplex\":1,\"connect-timeout-s\":0.25,"
                + "\"conn-idle-s\":5},\"rules\":{\"answer-slack-s\":0.02,\"ask-within-s\":10,"
                + "\"drain-grace-s\":2,\"cold-s\":3,\"start-capacity\":0.3,\"fall-multiple\":3,\"fall-s\":3},"
                + "\"report\":{\"names\":[\"cpu\"],\"via\":\"silent\"},"
                + "\"weights\":\"silent\",\"tick-s\":0.005,"
                + "\"prices\":{\"cross-zone\":0,\"waste\":0,\"probe\":0,\"peer\":0,"
                + "\"late-fail\":0,\"handshake\":0},\"discovery\":\""
                + mode
                + "\"}}";
    }

    /** The module that serves, with an ear at what it is told of the list. */
    private LoadBalancerFactory modules(int number) {
        return (settings, seed, out) -> {
            LoadBalancer module = new ReweightingLoadBalancer(settings, seed, out);
            return (LoadBalancer)
                    Proxy.newProxyInstance(
                            LoadBalancer.class.getClassLoader(),
                            new Class<?>[] {LoadBalancer.class},
                            (proxy, method, args) -> {
                                if (method.getName().equals("updateEndpoints")) {
                                    @SuppressWarnings("unchecked")
                                    List<EndpointDescriptor> entries =
                                            (List<EndpointDescriptor>) args[2];
                                    heard.add(
                                            new Heard(
                                                    number,
                                                    timeline.micros(),
                                                    (EndpointListUpdateType) args[1],
                                                    entries));
                                }
                                try {
                                    return method.invoke(module, args);
                                } catch (InvocationTargetException e) {
                                    throw e.getCause();
                                }
                            });
        };
    }

    /**
     * When that one first heard that an upstream drains, in microseconds; a very long time if
     * never.
     */
    long heardDraining(int node, String id) {
        return heard.stream()
                .filter(
                        h ->
                                h.node == node
                                        && h.entries.stream()
                                                .anyMatch(
                                                        e ->
                                                                e.id().equals(id)
                                                                        && e.state()
                                                                                == EndpointState
                                                                                        .DRAINING))
                .mapToLong(Heard::at)
                .findFirst()
                .orElse(Long.MAX_VALUE / 2);
    }
}
