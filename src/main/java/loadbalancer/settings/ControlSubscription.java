package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Subscription of a balancer to control servers: the section {@code [control]} of the operator's
 * file.
 *
 * @param name of this balancer, unique among all subscribers
 * @param service whose resources it subscribes to
 * @param servers addresses of control servers, in no order of preference
 * @param zone of this balancer; may be empty
 * @param list where its endpoint list comes from
 */
public record ControlSubscription(
        String name, String service, List<String> servers, String zone, ListSource list) {
    static final List<String> KEYS = List.of("name", "service", "servers", "zone", "list");
    private static final int MAX_SERVERS = 8;

    /** Where the endpoint list comes from. */
    public enum ListSource {
        /** From discovery, as without control servers. */
        DISCOVERY,
        /** From the control servers. */
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
