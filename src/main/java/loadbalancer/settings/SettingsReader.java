package loadbalancer.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.CapacityWeightKind;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RuleLimits;
import loadbalancer.TenantQuota;

/** Reads the settings that an instance is created with. Keys it does not know are skipped. */
public final class SettingsReader {
    /** The values of a load report, in the order of the fields of the module's record. */
    public static final List<String> REPORTED =
            List.of("cpu", "active", "waiting", "avg_ms", "rps", "err_rps");

    private static final Map<String, Idempotency> EFFECTS =
            Map.of(
                    "free",
                    Idempotency.IDEMPOTENT,
                    "guarded",
                    Idempotency.KEYED,
                    "single_shot",
                    Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, IdempotencyScope> SCOPES =
            Map.of(
                    "all",
                    IdempotencyScope.ALL,
                    "zone",
                    IdempotencyScope.ZONE,
                    "cell",
                    IdempotencyScope.CELL);
    private static final Map<String, LoadReportSource> VIA =
            Map.of(
                    "piggyback",
                    LoadReportSource.RESPONSES,
                    "pull",
                    LoadReportSource.PROBES,
                    "silent",
                    LoadReportSource.NONE);
    private static final Map<String, CapacityWeightKind> WEIGHTS =
            Map.of(
                    "silent",
                    CapacityWeightKind.NONE,
                    "nominal",
                    CapacityWeightKind.NOMINAL,
                    "rough",
                    CapacityWeightKind.APPROXIMATE,
                    "live",
                    CapacityWeightKind.LIVE);

    private SettingsReader() {}

    /** Seconds as the module has them: whole microseconds. */
    public static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    /**
     * What was found: the settings for the module, and names. The wire gives classes, tenants,
     * zones and kinds by their place in these lists, the sockets by name.
     */
    public record Found(
            LoadBalancerSettings settings,
            List<String> reportNames,
            List<String> classes,
            List<String> tenants,
            List<String> zones,
            List<String> kinds) {
        /** The same names with other settings. */
        public Found with(LoadBalancerSettings other) {
            return new Found(other, reportNames, classes, tenants, zones, kinds);
        }
    }

    /**
     * One object of the settings, flat: numbers and bools as numbers, texts, and lists of objects.
     */
    private static final class Node {
        final Map<String, Double> numbers = new HashMap<>();
        final Map<String, String> texts = new HashMap<>();
        final Map<String, Node> objects = new HashMap<>();
        final Map<String, List<Node>> lists = new HashMap<>();

        double number(String name, double otherwise) {
            return numbers.getOrDefault(name, otherwise);
        }

        long time(String name) {
            return micros(number(name, 0));
        }

        boolean flag(String name) {
            return number(name, 0) != 0;
        }

        Node object(String name) {
            return objects.getOrDefault(name, new Node());
        }

        List<Node> list(String name) {
            return lists.getOrDefault(name, List.of());
        }

        <T> T choice(String name, Map<String, T> values, T otherwise) throws InvalidInputException {
            String text = texts.get(name);
            if (text == null) {
                return otherwise;
            }
            if (!values.containsKey(text)) {
                throw new InvalidInputException(
                        "setting " + name + " has the unknown value " + text);
            }
            return values.get(text);
        }
    }

    /** Reads one object of settings; the parser stands at its start. */
    public static Found read(JsonParser json) throws InvalidInputException, IOException {
        Node facts = node(json);
        List<RequestClass> classes = new ArrayList<>();
        for (Node c : facts.list("classes")) {
            classes.add(
                    new RequestClass(
                            c.texts.getOrDefault("name", ""),
                            c.time("aim-s"),
                            c.number("aim-stretch", 0),
                            c.time("give-up-s"),
                            c.number("worth", 1),
                            c.number("late-worth", 0),
                            c.choice("repeat", EFFECTS, Idempotency.NOT_IDEMPOTENT),
                            c.choice("dedup-scope", SCOPES, IdempotencyScope.CELL),
                            c.time("memory-span-s"),
                            c.flag("stream")));
        }
        List<TenantQuota> tenants = new ArrayList<>();
        for (Node t : facts.list("parties")) {
            tenants.add(new TenantQuota(t.number("allowance-per-s", 0), t.number("share", 0)));
        }
        Node report = facts.object("report");
        LoadBalancerSettings settings =
                new LoadBalancerSettings(
                        (int) facts.number("az", 0),
                        Math.max(1, facts.list("localities").size()),
                        (int) facts.number("position", 0),
                        (int) facts.number("group-size", 1),
                        classes,
                        tenants,
                        facts.number("over-share-worth", 1),
                        "work".equals(facts.texts.get("counted-by")),
                        limits(facts.object("ceilings")),
                        rules(facts.object("rules")),
                        prices(facts.object("prices")),
                        report.choice("via", VIA, LoadReportSource.NONE),
                        facts.choice("weights", WEIGHTS, CapacityWeightKind.NONE),
                        "on_request".equals(facts.texts.get("discovery")),
                        facts.object("extra").flag("warm-keys"),
                        facts.time("tick-s"));
        return new Found(
                settings,
                names(report.list("names"), ""),
                names(facts.list("classes"), "name"),
                names(facts.list("parties"), "name"),
                names(facts.list("localities"), ""),
                names(facts.list("kinds"), ""));
    }

    private static List<String> names(List<Node> nodes, String field) {
        return nodes.stream().map(n -> n.texts.getOrDefault(field, "")).toList();
    }

    private static LoadBalancerLimits limits(Node n) {
        return new LoadBalancerLimits(
                (int) n.number("try-limit", 1),
                n.flag("may-duplicate"),
                n.flag("probes"),
                n.flag("cancel"),
                n.flag("peers"),
                (int) n.number("max-open", 0),
                n.flag("retry-after"),
                n.time("max-retry-after-s"),
                n.time("connect-timeout-s"),
                n.time("conn-idle-s"),
                (int) n.number("multiplex", 1));
    }

    private static RuleLimits rules(Node n) {
        return new RuleLimits(
                n.time("answer-slack-s"),
                n.time("ask-within-s"),
                n.number("start-capacity", 1),
                n.time("cold-s"),
                n.time("drain-grace-s"),
                n.number("fall-multiple", 1),
                n.time("fall-s"));
    }

    private static Prices prices(Node n) {
        return new Prices(
                n.number("cross-zone", 0),
                n.number("waste", 0),
                n.number("probe", 0),
                n.number("peer", 0),
                n.number("late-fail", 0),
                n.number("handshake", 0));
    }

    private static Node node(JsonParser json) throws IOException {
        Node node = new Node();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.START_ARRAY) {
                node.lists.put(name, nodes(json));
            } else {
                value(node, name, json, value);
            }
        }
        return node;
    }

    private static List<Node> nodes(JsonParser json) throws IOException {
        List<Node> list = new ArrayList<>();
        for (JsonToken t = json.nextToken();
                t != null && t != JsonToken.END_ARRAY;
                t = json.nextToken()) {
            if (t == JsonToken.START_OBJECT) {
                list.add(node(json));
            } else if (t == JsonToken.START_ARRAY) {
                json.skipChildren();
            } else {
                Node scalar = new Node();
                value(scalar, "", json, t);
                list.add(scalar);
            }
        }
        return list;
    }

    private static void value(Node node, String name, JsonParser json, JsonToken value)
            throws IOException {
        switch (value) {
            case START_OBJECT -> node.objects.put(name, node(json));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    node.numbers.put(name, json.getDoubleValue());
            case VALUE_TRUE -> node.numbers.put(name, 1.0);
            case VALUE_FALSE -> node.numbers.put(name, 0.0);
            case VALUE_STRING -> node.texts.put(name, json.getText());
            default -> {}
        }
    }
}
