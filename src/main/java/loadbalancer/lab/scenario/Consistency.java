package loadbalancer.lab.scenario;

import java.util.List;
import java.util.Map;

/** What no single key can tell: names that other sections must have, sums that must not be zero. */
final class Consistency {
    /** Which keys a trouble of each kind can't do without. */
    private static final Map<String, List<String>> NEEDS =
            Map.of("tenant_flood", List.of("tenant"));

    private Consistency() {}

    static void check(String file, Drawn world) throws BadScenario {
        if (world.all("class").stream().mapToDouble(c -> c.number("share")).sum() <= 0) {
            throw new BadScenario(file + " class", "expected shares that add up to more than 0");
        }
        if (world.all("kind").stream().mapToDouble(k -> k.number("share")).sum() <= 0) {
            throw new BadScenario(file + " kind", "expected shares that add up to more than 0");
        }
        for (Section trouble : world.all("trouble")) {
            String place = file + " trouble." + trouble.name();
            for (String key : NEEDS.getOrDefault(trouble.text("kind"), List.of())) {
                if (trouble.text(key).isEmpty()) {
                    throw new BadScenario(
                            place + "." + key, "must be given for " + trouble.text("kind"));
                }
            }
            known(place + ".tenant", trouble.text("tenant"), world.all("tenant"));
            known(place + ".server_kind", trouble.text("server_kind"), world.all("kind"));
        }
    }

    private static void known(String place, String name, List<Section> among) throws BadScenario {
        if (!name.isEmpty() && among.stream().noneMatch(s -> s.name().equals(name))) {
            throw new BadScenario(
                    place,
                    "expected one of "
                            + String.join(", ", among.stream().map(Section::name).toList())
                            + ", got "
                            + name);
        }
    }
}
