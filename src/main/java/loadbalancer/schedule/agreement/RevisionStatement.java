package loadbalancer.schedule.agreement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loadbalancer.schedule.window.CalendarFile;

/**
 * A member's votes, replicated as CBOR: for the revisions of its own operators' files and for those
 * that it knows to be agreed. Unknown fields are ignored. Immutable.
 */
record RevisionStatement(List<Vote> votes) {
    /**
     * A vote for a revision. Votes with the same number but a different start or digest are for
     * different revisions.
     *
     * @param effectiveFromMicros start of the revision, in microseconds of UTC
     */
    record Vote(long number, long effectiveFromMicros, String digest) {}

    /** Three votes for own files and four for agreed revisions. */
    static final int MAX_VOTES = 7;

    /** Seven votes take 400 bytes. */
    private static final int MAX_BYTES = 1_024;

    /** CBOR field name of the votes. */
    private static final String VOTES_FIELD = "holds";

    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    byte[] encode() {
        ObjectNode node = CBOR.createObjectNode();
        ArrayNode list = node.putArray(VOTES_FIELD);
        for (Vote vote : votes) {
            list.addArray().add(vote.number).add(vote.effectiveFromMicros).add(vote.digest);
        }
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode the calendar statement", e);
        }
    }

    /** Decodes a received statement; empty if the bytes are not a valid statement. */
    static Optional<RevisionStatement> decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return Optional.empty();
        }
        try {
            JsonNode list = CBOR.readTree(bytes).path(VOTES_FIELD);
            List<Vote> votes = new ArrayList<>();
            for (JsonNode vote : list) {
                votes.add(
                        new Vote(
                                vote.path(0).asLong(),
                                vote.path(1).asLong(),
                                vote.path(2).asText()));
            }
            boolean isValid =
                    list.isArray()
                            && votes.size() <= MAX_VOTES
                            && votes.stream().allMatch(RevisionStatement::isValid);
            return isValid ? Optional.of(new RevisionStatement(votes)) : Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private static boolean isValid(Vote vote) {
        return vote.number > 0 && CalendarFile.isDigest(vote.digest);
    }
}
