package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * How a balancer belongs to a fleet: the section {@code [fleet]} of the operator's file.
 *
 * @param name of this balancer, 1 to 64 printable characters without spaces
 * @param listen the UDP address, {@code 10.0.0.1:9700}
 * @param seeds addresses of some members that a start asks; none for the first of a fleet
 * @param keys that datagrams are signed with: the first signs, and the second, if there is one,
 *     holds too
 * @param roster the names of those that vote
 * @param zone where this balancer stands, may be empty
 */
public record FleetSettings(
        String name,
        String listen,
        List<String> seeds,
        List<byte[]> keys,
        Set<String> roster,
        String zone) {
    static final List<String> KEYS =
            List.of("name", "listen", "seeds", "key", "previous-key", "roster", "zone");

    /** More than the largest fleet that is measured. */
    private static final int MOST_NAMES = 1_024;

    static FleetSettings read(Path file, JsonNode section) throws InvalidOperatorFileException {
        SectionReader in = new SectionReader(file, "fleet", section);
        String name = in.name("name");
        String listen = in.address("listen", in.required("listen"), 0);
        List<String> seeds = new ArrayList<>();
        for (String seed : in.list("seeds", MOST_NAMES)) {
            seeds.add(in.address("seeds", seed, 1));
        }
        Set<String> roster = new LinkedHashSet<>();
        for (String voter : in.list("roster", MOST_NAMES)) {
            in.check(
                    SectionReader.isName(voter), "roster", "expected names, got \"" + voter + "\"");
            in.check(roster.add(voter), "roster", voter + " is listed twice");
        }
        in.check(!roster.isEmpty(), "roster", "expected at least one name");
        List<byte[]> keys =
                new ArrayList<>(List.of(KeyFile.read(file, "fleet.key", in.required("key"))));
        String previous = in.text("previous-key");
        if (!previous.isEmpty()) {
            keys.add(KeyFile.read(file, "fleet.previous-key", previous));
            in.check(
                    !Arrays.equals(keys.get(0), keys.get(1)), "previous-key", "is the same as key");
        }
        return new FleetSettings(
                name, listen, List.copyOf(seeds), List.copyOf(keys), roster, in.zone());
    }
}
