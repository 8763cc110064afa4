package yewyoke.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * How a balancer belongs to a fleet: the section {@code [fleet]} of the operator's file.
 *
 * @param name of this balancer, 1 to 64 printable characters without spaces
 * @param listen the UDP address, {@code 10.0.0.1:9700}
 * @param seeds addresses of some members that a start asks; none for the first of a fleet
 * @param keys that datagrams are signed with: the first signs, and the second, if there is one, holds too
 * @param roster the names of those that vote
 * @param zone where this balancer stands, may be empty
 */
public record FleetSettings(String name, String listen, List<String> seeds, List<byte[]> keys,
        Set<String> roster, String zone) {
    static final List<String> KEYS =
            List.of("name", "listen", "seeds", "key", "previous-key", "roster", "zone");
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})"
            + ":(\\d{1,5})");
    /** More than the largest fleet that is measured. */
    private static final int MOST_NAMES = 1_024;

    static FleetSettings read(Path file, JsonNode section) throws BadOperatorFile {
        Reader in = new Reader(file, section);
        String name = in.name("name");
        String listen = in.address("fleet.listen", in.required("listen"), 0);
        List<String> seeds = new ArrayList<>();
        for (String seed : in.list("seeds")) {
            seeds.add(in.address("fleet.seeds", seed, 1));
        }
        Set<String> roster = new LinkedHashSet<>();
        for (String voter : in.list("roster")) {
            in.check(NAME.matcher(voter).matches(), "fleet.roster", "expected names, got \"" + voter + "\"");
            in.check(roster.add(voter), "fleet.roster", voter + " is listed twice");
        }
        in.check(!roster.isEmpty(), "fleet.roster", "expected at least one name");
        List<byte[]> keys = new ArrayList<>(List.of(KeyFile.read(file, "fleet.key", in.required("key"))));
        String previous = in.text("previous-key");
        if (!previous.isEmpty()) {
            keys.add(KeyFile.read(file, "fleet.previous-key", previous));
            in.check(!Arrays.equals(keys.get(0), keys.get(1)), "fleet.previous-key", "is the same as key");
        }
        String zone = in.text("zone");
        in.check(zone.length() <= 64, "fleet.zone", "expected 64 characters at most");
        return new FleetSettings(name, listen, List.copyOf(seeds), List.copyOf(keys), roster, zone);
    }

    private record Reader(Path file, JsonNode section) {
        void check(boolean good, String key, String reason) throws BadOperatorFile {
            if (!good) {
                throw new BadOperatorFile(file + " " + key, reason);
            }
        }

        String text(String key) throws BadOperatorFile {
            return OperatorFile.text(file, "fleet." + key, section.path(key), "");
        }

        String required(String key) throws BadOperatorFile {
            String text = text(key);
            check(!text.isEmpty(), "fleet." + key, "is needed in a section [fleet]");
            return text;
        }

        String name(String key) throws BadOperatorFile {
            String name = required(key);
            check(NAME.matcher(name).matches(), "fleet." + key,
                    "expected 1 to 64 printable characters without spaces");
            return name;
        }

        List<String> list(String key) throws BadOperatorFile {
            JsonNode list = section.path(key);
            check(list.isArray() && list.size() <= MOST_NAMES, "fleet." + key,
                    "expected a list of texts, " + MOST_NAMES + " at most");
            List<String> texts = new ArrayList<>();
            for (JsonNode text : list) {
                texts.add(OperatorFile.text(file, "fleet." + key, text, ""));
            }
            return texts;
        }

        String address(String key, String text, int leastPort) throws BadOperatorFile {
            var m = ADDRESS.matcher(text);
            boolean good = m.matches();
            for (int i = 1; good && i <= 4; i++) {
                good = Integer.parseInt(m.group(i)) <= 255;
            }
            int port = good ? Integer.parseInt(m.group(5)) : 0;
            check(good && port >= leastPort && port <= 65_535, key,
                    "expected an address like 10.0.0.1:9700, got \"" + text + "\"");
            return text;
        }
    }
}
