package loadbalancer.schedule.agreement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What one member says of the calendar, in CBOR. Fields that it does not know are passed over.
 *
 * @param holds its votes: revisions that its own operators' file gave it, and those that it knows
 *     to be agreed
 */
record Statement(List<Held> holds) {
    /** A vote. A number with another instant or digest is another revision. */
    record Held(long number, long from, String digest) {}

    /** Revisions in a statement: three files and four that are agreed. */
    static final int MOST = 7;

    /** Bytes of one; seven revisions take 400. */
    private static final int MOST_BYTES = 1_024;

    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    byte[] bytes() {
        ObjectNode node = CBOR.createObjectNode();
        ArrayNode list = node.putArray("holds");
        for (Held h : holds) {
            list.addArray().add(h.number).add(h.from).add(h.digest);
        }
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e); // nothing is written but to memory
        }
    }

    /** What bytes say; null if they are no statement. */
    static Statement read(byte[] bytes) {
        if (bytes.length > MOST_BYTES) {
            return null;
        }
        try {
            JsonNode node = CBOR.readTree(bytes);
            List<Held> holds = new ArrayList<>();
            for (JsonNode h : node.path("holds")) {
                holds.add(new Held(h.path(0).asLong(), h.path(1).asLong(), h.path(2).asText()));
            }
            boolean good =
                    node.path("holds").isArray()
                            && holds.size() <= MOST
                            && holds.stream()
                                    .allMatch(
                                            h -> h.number > 0 && h.digest.matches("[0-9a-f]{32}"));
            return good ? new Statement(holds) : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
