package loadbalancer.lab;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import loadbalancer.lab.sim.Result;

/** One line of the results: where in the sweep, who played, from which seed, and what it showed. */
record Row(int cell, Map<String, JsonNode> at, String policy, long seed, Result result) {
    /** The same name as {@link Experiment.Run#id}. */
    @JsonIgnore
    String id() {
        return cell + "/" + policy + "/" + seed;
    }

    /** The point of the sweep in words. */
    @JsonIgnore
    String place() {
        return at.isEmpty()
                ? "as given"
                : at.entrySet().stream()
                        .map(e -> e.getKey() + " " + e.getValue().asText(e.getValue().toString()))
                        .collect(Collectors.joining(", "));
    }

    /** The figures that tables, plots and comparisons are made of, by name. */
    @JsonIgnore
    Map<String, Double> figures() {
        Map<String, Double> f = new LinkedHashMap<>();
        f.put("g", result.g());
        f.put("whole", result.whole());
        f.put("worst_window", result.worstWindow());
        f.put("worst_class", result.worstClass());
        f.put("worst_tenant", result.worstTenant());
        f.put("waste", result.waste());
        f.put("amplification", result.amplification());
        f.put("busy_share", result.busyShare());
        f.put("client_tries", result.clientTries() / (double) Math.max(1, result.firstTries()));
        f.put("refused", (double) result.refused());
        f.put("choked", (double) result.choked());
        f.put("breaches", (double) result.breaches().values().stream().mapToLong(n -> n).sum());
        new TreeMap<>(result.latency())
                .forEach(
                        (name, l) -> {
                            f.put(name + "_p50_ms", l.p50Ms());
                            f.put(name + "_p99_ms", l.p99Ms());
                            f.put(name + "_share", l.share());
                        });
        result.recovery().forEach((name, t) -> f.put(name + "_recovery_s", t.recoveryS()));
        return f;
    }
}
