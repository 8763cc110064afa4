package loadbalancer.rollout.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a member says of itself on one plan.
 *
 * @param passed stages whose verdict it holds, counted from the time before the change
 * @param serving whether its balancer serves
 * @param fits whether what lies on its machine has the plan's digest
 * @param ask its question whether it may begin, drawn anew for each; 0 for none
 * @param grants whom it lets begin, by the number of the question
 */
record Statement(
        int passed, Phase phase, boolean serving, Fits fits, long ask, Map<String, Long> grants) {
    /** What the balancer runs. */
    enum Phase {
        OLD,
        BETWEEN,
        NEW
    }

    /** Of the digest. */
    enum Fits {
        UNKNOWN,
        YES,
        NO
    }

    /** More than any fleet lets change at one time; bounds what is read. */
    static final int MOST_GRANTS = 32;

    private static final int LONGEST = 4 * 1024;
    private static final ObjectMapper CBOR = new CBORMapper();

    byte[] bytes() {
        ObjectNode node =
                CBOR.createObjectNode()
                        .put("passed", passed)
                        .put("phase", phase.ordinal())
                        .put("serving", serving)
                        .put("fits", fits.ordinal())
                        .put("ask", ask);
        ObjectNode given = node.putObject("grants");
        grants.forEach(given::put);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * What another said; null if it is not understood. Fields of later programs are passed over.
     */
    static Statement of(byte[] body) {
        if (body.length > LONGEST) {
            return null;
        }
        try {
            JsonNode node = CBOR.readTree(body);
            int phase = node.path("phase").asInt(-1);
            int fits = node.path("fits").asInt(-1);
            int passed = node.path("passed").asInt(-1);
            if (phase < 0 || phase > 2 || fits < 0 || fits > 2 || passed < 0) {
                return null;
            }
            Map<String, Long> grants = new TreeMap<>();
            for (var grant : node.path("grants").properties()) {
                if (grants.size() < MOST_GRANTS) {
                    grants.put(grant.getKey(), grant.getValue().asLong());
                }
            }
            return new Statement(
                    passed,
                    Phase.values()[phase],
                    node.path("serving").asBoolean(),
                    Fits.values()[fits],
                    node.path("ask").asLong(),
                    grants);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
