package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Subscription of a balancer to control servers: section {@code [control]} of the operator file.
 *
 * @param name name of this balancer, unique among all subscribers
 * @param service name of the service whose resources the balancer subscribes to
 * @param servers addresses of the control servers, in no order of preference
 * @param zone zone of this balancer; may be empty
 * @param list source of the balancer's endpoint list
 */
public record ControlSubscription(
        String name, String service, List<String> servers, String zone, ListSource list) {
    static final List<String> KEYS = List.of("name", "service", "servers", "zone", "list");
    private static final int MAX_SERVERS = 8;

    /** Source of the endpoint list. */
    public enum ListSource {
        /** The discovery service, the same as without control servers. */
        DISCOVERY,
        /** The control servers. */
        CONTROL
    }

    static ControlSubscription read(Path file, JsonNode section)
            throws InvalidOperatorFileException {
        SectionReader reader = new SectionReader(file, "control", section);
        return new ControlSubscription(
                reader.name("name"), service(reader), servers(reader), reader.zone(), list(reader));
    }

    private static String service(SectionReader reader) throws InvalidOperatorFileException {
        String service = reader.name("service");
        reader.check(
                !service.contains(","), "service", "expected one service, got \"" + service + "\"");
        return service;
    }

    private static List<String> servers(SectionReader reader) throws InvalidOperatorFileException {
        Set<String> servers = new LinkedHashSet<>();
        for (String server : reader.list("servers", MAX_SERVERS)) {
            reader.address("servers", server, 1);
            reader.check(servers.add(server), "servers", server + " is listed twice");
        }
        reader.check(!servers.isEmpty(), "servers", "expected at least one address");
        return List.copyOf(servers);
    }

    private static ListSource list(SectionReader reader) throws InvalidOperatorFileException {
        String list = reader.text("list", "discovery");
        reader.check(
                list.equals("discovery") || list.equals("control"),
                "list",
                "expected discovery or control, got \"" + list + "\"");
        return list.equals("control") ? ListSource.CONTROL : ListSource.DISCOVERY;
    }
}
