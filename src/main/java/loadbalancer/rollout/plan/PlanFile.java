package loadbalancer.rollout.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A plan's text, TOML as {@code docs/rollout.md} shows it. Checked whole: a bad one is refused in
 * one line with its place, and starts nothing anywhere.
 */
public final class PlanFile {
    /** Bytes of a plan at most: what one document of the fleet holds. */
    public static final int LONGEST = 16 * 1024;

    /** Each class costs a tally a balancer and window. */
    private static final int MOST_CLASSES = 8;

    /** So that a topic of the fleet has room for it. */
    private static final int LONGEST_CLASS = 48;

    private static final long DAY_S = 86_400;
    private static final List<String> KEYS =
            List.of(
                    "id",
                    "number",
                    "program",
                    "operator",
                    "digest",
                    "stages",
                    "floor",
                    "at_once",
                    "exposure",
                    "margins",
                    "class",
                    "zones");

    private PlanFile() {}

    /** Reads and checks a plan that names its balancers under {@code [zones]}. */
    public static Plan read(String text) throws InvalidPlanException {
        JsonNode tree = tree(text);
        PlanSection top = new PlanSection("", tree);
        top.only(KEYS);
        List<Double> stages = stages(tree.path("stages"));
        Map<String, String> zones = zones(tree.path("zones"));
        Exposure exposure = exposure(new PlanSection("exposure.", tree.path("exposure")));
        Map<Metric, Double> others =
                margins(new PlanSection("margins.", tree.path("margins")), Map.of(), true);
        Plan plan =
                new Plan(
                        Digests.of(text).substring(0, 32),
                        top.name("id"),
                        top.whole("number", 1, Long.MAX_VALUE / 2, null),
                        text,
                        change(top),
                        stages,
                        top.share("floor", 0.5, 1, 0.8),
                        (int) top.whole("at_once", 1, 100, 1L),
                        exposure,
                        classes(tree.path("class"), others),
                        others,
                        zones);
        if (!zones.isEmpty()) {
            fits(plan);
        }
        return plan;
    }

    /**
     * The same text with the fleet's balancers and their zones behind it, where it does not name
     * them.
     */
    public static String withZones(String text, Map<String, String> zones)
            throws InvalidPlanException {
        if (tree(text).has("zones")) {
            return text;
        }
        Map<String, List<String>> byZone = new TreeMap<>();
        new TreeMap<>(zones)
                .forEach(
                        (name, zone) ->
                                byZone.computeIfAbsent(zone, z -> new ArrayList<>())
                                        .add(quoted(name)));
        StringBuilder out = new StringBuilder(text).append("\n[zones]\n");
        byZone.forEach(
                (zone, names) ->
                        out.append(quoted(zone))
                                .append(" = [")
                                .append(String.join(",", names))
                                .append("]\n"));
        return out.toString();
    }

    private static String quoted(String name) {
        return '"' + name.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static JsonNode tree(String text) throws InvalidPlanException {
        if (text.getBytes(StandardCharsets.UTF_8).length > LONGEST) {
            throw new InvalidPlanException(
                    "plan", "longer than " + LONGEST + " bytes with its zones");
        }
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new InvalidPlanException(
                    "plan"
                            + (e.getLocation() == null
                                    ? ""
                                    : " line " + e.getLocation().getLineNr()),
                    e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (RuntimeException | StackOverflowError e) {
            // it may come from any member: whatever the parser thinks of it must not go further
            // than here
            throw new InvalidPlanException("plan", "not understood");
        }
    }

    private static Change change(PlanSection top) throws InvalidPlanException {
        if (top.has("program") == top.has("operator")) {
            throw new InvalidPlanException("program", "expected either program or operator");
        }
        boolean program = top.has("program");
        String digest = top.text("digest");
        if (!digest.matches("sha256:[0-9a-f]{64}")) {
            throw new InvalidPlanException("digest", "expected sha256: and 64 small hex digits");
        }
        return new Change(
                program ? Change.Kind.PROGRAM : Change.Kind.OPERATOR,
                top.name(program ? "program" : "operator"),
                digest.substring(7));
    }

    private static List<Double> stages(JsonNode node) throws InvalidPlanException {
        List<Double> stages = new ArrayList<>();
        double before = 0;
        for (JsonNode share : node) {
            String place = "stages " + (stages.size() + 1);
            if (!share.isNumber() || !(share.doubleValue() > before) || share.doubleValue() > 1) {
                throw new InvalidPlanException(
                        place, "expected shares of the fleet that rise to 1.0");
            }
            before = share.doubleValue();
            stages.add(before);
        }
        if (!node.isArray() || before != 1 || stages.size() > 20) {
            throw new InvalidPlanException(
                    "stages", "expected 1 to 20 shares of the fleet that rise to 1.0");
        }
        return List.copyOf(stages);
    }

    private static Exposure exposure(PlanSection section) throws InvalidPlanException {
        section.only(List.of("before", "requests", "seconds", "longest"));
        long seconds = section.whole("seconds", 30, DAY_S, null);
        return new Exposure(
                section.whole("before", 60, 3_600, 300L),
                section.whole("requests", 1, Long.MAX_VALUE / 2, null),
                seconds,
                section.whole("longest", 2 * seconds, 7 * DAY_S, null));
    }

    private static Map<String, Map<Metric, Double>> classes(
            JsonNode node, Map<Metric, Double> others) throws InvalidPlanException {
        new PlanSection("class", node).section();
        Map<String, Map<Metric, Double>> classes = new TreeMap<>();
        for (var entry : node.properties()) {
            String place = "class." + entry.getKey();
            if (entry.getKey().isEmpty()
                    || entry.getKey().length() > LONGEST_CLASS
                    || entry.getKey().equals(Plan.OTHERS)
                    || classes.size() == MOST_CLASSES) {
                throw new InvalidPlanException(
                        place,
                        "expected at most "
                                + MOST_CLASSES
                                + " classes with names of 1 to "
                                + LONGEST_CLASS
                                + " characters, "
                                + Plan.OTHERS
                                + " is taken");
            }
            classes.put(
                    entry.getKey(),
                    margins(new PlanSection(place + ".", entry.getValue()), others, false));
        }
        return classes;
    }

    private static Map<Metric, Double> margins(
            PlanSection section, Map<Metric, Double> otherwise, boolean all)
            throws InvalidPlanException {
        List<String> known = new ArrayList<>();
        Map<Metric, Double> margins = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            if (all || !metric.ofProcess()) {
                known.add(metric.key());
                margins.put(
                        metric,
                        section.share(
                                metric.key(),
                                0.001,
                                1,
                                otherwise.getOrDefault(metric, metric.usual())));
            }
        }
        section.only(known);
        return margins;
    }

    private static Map<String, String> zones(JsonNode node) throws InvalidPlanException {
        new PlanSection("zones", node).section();
        Map<String, String> zones = new TreeMap<>();
        for (var zone : node.properties()) {
            for (JsonNode name : zone.getValue()) {
                if (!name.isTextual() || zones.put(name.asText(), zone.getKey()) != null) {
                    throw new InvalidPlanException(
                            "zones." + zone.getKey(), "expected names, each once");
                }
            }
        }
        return zones;
    }

    /** What can only be told once it is known how many balancers there are. */
    private static void fits(Plan plan) throws InvalidPlanException {
        int members = plan.zones().size();
        int before = 0;
        for (int i = 0; i < plan.last(); i++) {
            int target = Order.target(plan.stages().get(i), members);
            if (target <= before) {
                throw new InvalidPlanException(
                        "stages " + (i + 1), "adds no balancer in a fleet of " + members);
            }
            before = target;
        }
        if (plan.slack() < 1) {
            throw new InvalidPlanException(
                    "floor", "leaves no balancer to change in a fleet of " + members);
        }
    }
}
