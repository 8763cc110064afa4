package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Membership of a balancer in a fleet: section {@code [fleet]} of the operator file.
 *
 * @param name name of this balancer, 1 to 64 printable characters without spaces
 * @param listen UDP address to bind, such as {@code 10.0.0.1:9700}
 * @param seeds addresses of members to join through; empty for the first member of a fleet
 * @param keys keys that authenticate datagrams: the first signs; datagrams signed with the optional
 *     second one are accepted too
 * @param roster names of the voting members
 * @param zone zone of this balancer; may be empty
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

    /** Maximum length of the seed list and of the roster. */
    private static final int MAX_LIST_SIZE = 1_024;

    static FleetSettings read(Path file, JsonNode section) throws InvalidOperatorFileException {
        SectionReader reader = new SectionReader(file, "fleet", section);
        String name = reader.name("name");
        String listen = reader.address("listen", reader.required("listen"), 0);
        List<String> seeds = seeds(reader);
        Set<String> roster = roster(reader);
        List<byte[]> keys = keys(reader);
        return new FleetSettings(name, listen, seeds, keys, roster, reader.zone());
    }

    private static List<String> seeds(SectionReader reader) throws InvalidOperatorFileException {
        List<String> seeds = new ArrayList<>();
        for (String seed : reader.list("seeds", MAX_LIST_SIZE)) {
            seeds.add(reader.address("seeds", seed, 1));
        }
        return List.copyOf(seeds);
    }

    private static Set<String> roster(SectionReader reader) throws InvalidOperatorFileException {
        Set<String> roster = new LinkedHashSet<>();
        for (String voter : reader.list("roster", MAX_LIST_SIZE)) {
            reader.check(
                    SectionReader.isName(voter),
                    "roster",
                    "expected names of 1 to 64 printable characters without spaces, got \""
                            + voter
                            + "\"");
            reader.check(roster.add(voter), "roster", voter + " is listed twice");
        }
        reader.check(!roster.isEmpty(), "roster", "expected at least one name");
        return roster;
    }

    private static List<byte[]> keys(SectionReader reader) throws InvalidOperatorFileException {
        List<byte[]> keys = new ArrayList<>();
        keys.add(KeyFile.read(reader.file(), "fleet.key", reader.required("key")));
        String previous = reader.text("previous-key");
        if (!previous.isEmpty()) {
            keys.add(KeyFile.read(reader.file(), "fleet.previous-key", previous));
            reader.check(
                    !Arrays.equals(keys.get(0), keys.get(1)),
                    "previous-key",
                    "must differ from fleet.key");
        }
        return List.copyOf(keys);
    }
}
