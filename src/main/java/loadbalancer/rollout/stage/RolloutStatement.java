package loadbalancer.rollout.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The statement of a member about itself and one plan, replicated as CBOR. Immutable.
 *
 * @param passedStages number of stages passed by this member's verdict, including stage 0
 * @param isServing whether its balancer serves requests
 * @param digestCheck result of comparing the files on its machine with the plan's digest
 * @param requestId random id of its request to start its change; 0 if there is no request
 * @param grants ids of the requests that this member grants, by requesting member
 */
record RolloutStatement(
        int passedStages,
        Phase phase,
        boolean isServing,
        DigestCheck digestCheck,
        long requestId,
        Map<String, Long> grants) {
    /** The program that the balancer runs; replicated by ordinal. */
    enum Phase {
        /** The program or file from before the plan. */
        BASELINE,
        /** A hand-over in either direction. */
        CHANGING,
        /** The plan's program or operator's file. */
        CANARY
    }

    /** Whether the digest of the plan's program or file matches; replicated by ordinal. */
    enum DigestCheck {
        UNKNOWN,
        MATCHES,
        DIFFERS
    }

    /** Bounds the number of decoded grants; exceeds the concurrent changes of any fleet. */
    static final int MAX_GRANTS = 32;

    private static final int MAX_BYTES = 4 * 1024;
    private static final ObjectMapper CBOR = new CBORMapper();

    /** CBOR field names. */
    private static final class FieldNames {
        static final String PASSED_STAGES = "passed";
        static final String PHASE = "phase";
        static final String IS_SERVING = "serving";
        static final String DIGEST_CHECK = "fits";
        static final String REQUEST_ID = "ask";
        static final String GRANTS = "grants";
    }

    byte[] encode() {
        ObjectNode node =
                CBOR.createObjectNode()
                        .put(FieldNames.PASSED_STAGES, passedStages)
                        .put(FieldNames.PHASE, phase.ordinal())
                        .put(FieldNames.IS_SERVING, isServing)
                        .put(FieldNames.DIGEST_CHECK, digestCheck.ordinal())
                        .put(FieldNames.REQUEST_ID, requestId);
        ObjectNode grantNode = node.putObject(FieldNames.GRANTS);
        grants.forEach(grantNode::put);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes another member's statement; empty if invalid. Unknown fields are ignored. */
    static Optional<RolloutStatement> decode(byte[] body) {
        if (body.length > MAX_BYTES) {
            return Optional.empty();
        }
        try {
            return fromNode(CBOR.readTree(body));
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private static Optional<RolloutStatement> fromNode(JsonNode node) {
        int phase = node.path(FieldNames.PHASE).asInt(-1);
        int digestCheck = node.path(FieldNames.DIGEST_CHECK).asInt(-1);
        int passedStages = node.path(FieldNames.PASSED_STAGES).asInt(-1);
        if (!isOrdinal(phase, Phase.values())
                || !isOrdinal(digestCheck, DigestCheck.values())
                || passedStages < 0) {
            return Optional.empty();
        }
        Map<String, Long> grants = new TreeMap<>();
        for (var grant : node.path(FieldNames.GRANTS).properties()) {
            if (grants.size() < MAX_GRANTS) {
                grants.put(grant.getKey(), grant.getValue().asLong());
            }
        }
        return Optional.of(
                new RolloutStatement(
                        passedStages,
                        Phase.values()[phase],
                        node.path(FieldNames.IS_SERVING).asBoolean(),
                        DigestCheck.values()[digestCheck],
                        node.path(FieldNames.REQUEST_ID).asLong(),
                        grants));
    }

    private static boolean isOrdinal(int value, Enum<?>[] constants) {
        return value >= 0 && value < constants.length;
    }
}
