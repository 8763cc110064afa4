package loadbalancer.lab.scenario;

import java.util.List;
import java.util.Map;

/** One world of a scenario: every key has one value. */
public final class Drawn {
    private final Map<String, Section> plain;
    private final Map<String, List<Section>> named;

    Drawn(Map<String, Section> plain, Map<String, List<Section>> named) {
        this.plain = plain;
        this.named = named;
    }

    /** A section that occurs once. */
    public Section section(String name) {
        return plain.get(name);
    }

    /** The sections of a sort that come under names, in the file's order. */
    public List<Section> all(String sort) {
        return named.get(sort);
    }
}
