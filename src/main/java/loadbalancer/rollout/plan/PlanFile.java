package loadbalancer.rollout.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Parses plans, which are TOML files documented in {@code docs/rollout.md}. An invalid plan is
 * rejected as a whole with a one-line message that names the place. Stateless.
 */
public final class PlanFile {
    /** Maximum size of a plan in bytes, so that it fits in one replicated document. */
    public static final int MAX_BYTES = 16 * 1024;

    private static final int KEY_LENGTH = 32;
    private static final int MAX_STAGES = 20;
    private static final long MAX_NUMBER = Long.MAX_VALUE / 2;
    private static final long MIN_BASELINE_SECONDS = 60;
    private static final long MAX_BASELINE_SECONDS = 3_600;
    private static final long DEFAULT_BASELINE_SECONDS = 300;
    private static final long MIN_STAGE_SECONDS = 30;
    private static final long DAY_SECONDS = 86_400;
    private static final double LOWEST_MIN_SERVING_FRACTION = 0.5;
    private static final double DEFAULT_MIN_SERVING_FRACTION = 0.8;
    private static final int HIGHEST_CONCURRENT_CHANGES = 100;

    private PlanFile() {}

    /**
     * Parses and checks a plan. Its map of zones is empty if the text has no {@code [zones]}.
     *
     * @throws InvalidPlanException if the plan is invalid
     */
    public static Plan parse(String text) throws InvalidPlanException {
        PlanSection top = new PlanSection("", parseToml(text));
        top.requireKnownKeys(PlanFieldNames.TOP_LEVEL);
        Plan plan = toPlan(text, top);
        if (!plan.zoneByMember().isEmpty()) {
            requireFit(plan);
        }
        return plan;
    }

    private static Plan toPlan(String text, PlanSection top) throws InvalidPlanException {
        List<Double> stageFractions = stageFractions(top.child(PlanFieldNames.STAGE_FRACTIONS));
        Map<String, String> zoneByMember = zones(top.child(PlanFieldNames.ZONES));
        Exposure exposure = exposure(top.section(PlanFieldNames.EXPOSURE));
        Map<Metric, Double> defaultMargins =
                MarginsReader.readDefaults(top.section(PlanFieldNames.DEFAULT_MARGINS));
        return new Plan(
                Digests.ofText(text).substring(0, KEY_LENGTH),
                top.requireName(PlanFieldNames.ID),
                top.requireLong(PlanFieldNames.NUMBER, 1, MAX_NUMBER),
                text,
                change(top),
                stageFractions,
                top.optionalDouble(
                        PlanFieldNames.MIN_SERVING_FRACTION,
                        LOWEST_MIN_SERVING_FRACTION,
                        1,
                        DEFAULT_MIN_SERVING_FRACTION),
                (int)
                        top.optionalLong(
                                PlanFieldNames.MAX_CONCURRENT_CHANGES,
                                1,
                                HIGHEST_CONCURRENT_CHANGES,
                                1),
                exposure,
                MarginsReader.readClasses(top.child(PlanFieldNames.CLASS_MARGINS), defaultMargins),
                defaultMargins,
                zoneByMember);
    }

    /**
     * Appends the fleet's balancers and their zones to a plan without {@code [zones]}, and returns
     * the text.
     *
     * @throws InvalidPlanException if the text is not valid TOML or too long
     */
    public static String withZones(String text, Map<String, String> zoneByMember)
            throws InvalidPlanException {
        if (parseToml(text).has(PlanFieldNames.ZONES)) {
            return text;
        }
        Map<String, List<String>> membersByZone = new TreeMap<>();
        new TreeMap<>(zoneByMember)
                .forEach(
                        (member, zone) ->
                                membersByZone
                                        .computeIfAbsent(zone, name -> new ArrayList<>())
                                        .add(quoted(member)));
        StringBuilder out = new StringBuilder(text);
        out.append("\n[").append(PlanFieldNames.ZONES).append("]\n");
        membersByZone.forEach(
                (zone, members) ->
                        out.append(quoted(zone))
                                .append(" = [")
                                .append(String.join(",", members))
                                .append("]\n"));
        return out.toString();
    }

    private static String quoted(String name) {
        return '"' + name.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static JsonNode parseToml(String text) throws InvalidPlanException {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            throw new InvalidPlanException(
                    "plan", "exceeds the maximum of " + MAX_BYTES + " bytes including its zones");
        }
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr();
            throw new InvalidPlanException(
                    "plan" + line, e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (RuntimeException | StackOverflowError e) {
            // Any member may send a plan, so no exception of the parser may end this process.
            throw new InvalidPlanException("plan", "not valid TOML");
        }
    }

    private static PlannedChange change(PlanSection top) throws InvalidPlanException {
        boolean isProgram = top.has(PlanFieldNames.PROGRAM);
        if (isProgram == top.has(PlanFieldNames.OPERATOR_FILE)) {
            throw new InvalidPlanException(
                    PlanFieldNames.PROGRAM, "expected either program or operator");
        }
        String digest = top.requireText(PlanFieldNames.DIGEST);
        if (!digest.matches(PlanFieldNames.DIGEST_PREFIX + "[0-9a-f]{64}")) {
            throw new InvalidPlanException(
                    PlanFieldNames.DIGEST,
                    "expected sha256: followed by 64 lower-case hexadecimal digits");
        }
        String name =
                top.requireName(isProgram ? PlanFieldNames.PROGRAM : PlanFieldNames.OPERATOR_FILE);
        return new PlannedChange(
                isProgram ? PlannedChange.Kind.PROGRAM : PlannedChange.Kind.OPERATOR_FILE,
                name,
                digest.substring(PlanFieldNames.DIGEST_PREFIX.length()));
    }

    private static List<Double> stageFractions(JsonNode node) throws InvalidPlanException {
        List<Double> fractions = new ArrayList<>();
        double previous = 0;
        for (JsonNode fraction : node) {
            double value = fraction.doubleValue();
            if (!fraction.isNumber() || !(value > previous) || value > 1) {
                throw new InvalidPlanException(
                        stagePlace(fractions.size()),
                        "expected fractions of the fleet that increase to 1.0");
            }
            previous = value;
            fractions.add(value);
        }
        if (!node.isArray() || previous != 1 || fractions.size() > MAX_STAGES) {
            throw new InvalidPlanException(
                    PlanFieldNames.STAGE_FRACTIONS,
                    "expected 1 to " + MAX_STAGES + " fractions of the fleet that increase to 1.0");
        }
        return List.copyOf(fractions);
    }

    private static String stagePlace(int index) {
        return PlanFieldNames.STAGE_FRACTIONS + " " + (index + 1);
    }

    private static Exposure exposure(PlanSection section) throws InvalidPlanException {
        section.requireKnownKeys(PlanFieldNames.EXPOSURE_KEYS);
        long minSeconds =
                section.requireLong(PlanFieldNames.MIN_SECONDS, MIN_STAGE_SECONDS, DAY_SECONDS);
        return new Exposure(
                section.optionalLong(
                        PlanFieldNames.BASELINE_SECONDS,
                        MIN_BASELINE_SECONDS,
                        MAX_BASELINE_SECONDS,
                        DEFAULT_BASELINE_SECONDS),
                section.requireLong(PlanFieldNames.MIN_REQUESTS, 1, MAX_NUMBER),
                minSeconds,
                section.requireLong(PlanFieldNames.MAX_SECONDS, 2 * minSeconds, 7 * DAY_SECONDS));
    }

    private static Map<String, String> zones(JsonNode node) throws InvalidPlanException {
        new PlanSection(PlanFieldNames.ZONES, node).requireTable();
        Map<String, String> zoneByMember = new TreeMap<>();
        for (var zone : node.properties()) {
            for (JsonNode name : zone.getValue()) {
                if (!name.isTextual() || zoneByMember.put(name.asText(), zone.getKey()) != null) {
                    throw new InvalidPlanException(
                            PlanFieldNames.ZONES + "." + zone.getKey(),
                            "expected unique balancer names");
                }
            }
        }
        return zoneByMember;
    }

    /** Checks the values that depend on the size of the fleet. */
    private static void requireFit(Plan plan) throws InvalidPlanException {
        int members = plan.zoneByMember().size();
        int previousTarget = 0;
        for (int i = 0; i < plan.stageCount(); i++) {
            int target = RolloutOrder.targetCount(plan.stageFractions().get(i), members);
            if (target <= previousTarget) {
                throw new InvalidPlanException(
                        stagePlace(i), "adds no balancer in a fleet of " + members);
            }
            previousTarget = target;
        }
        if (plan.maxUnavailable() < 1) {
            throw new InvalidPlanException(
                    PlanFieldNames.MIN_SERVING_FRACTION,
                    "leaves no balancer to change in a fleet of " + members);
        }
    }
}
