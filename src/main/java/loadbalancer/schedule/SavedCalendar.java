package loadbalancer.schedule;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.schedule.window.CalendarFile;

/**
 * The calendar state that a member with a state folder saves across a restart. Immutable.
 *
 * @param agreedTexts texts of the revisions that the member knows to be agreed
 * @param ownTexts texts of its operators' files, oldest first; other members may have counted its
 *     votes for them
 */
public record SavedCalendar(List<byte[]> agreedTexts, List<byte[]> ownTexts) {
    /** The state of a member that starts for the first time or has no state folder. */
    public static final SavedCalendar EMPTY = new SavedCalendar(List.of(), List.of());

    /** Maximum encoded size in bytes: seven texts and the framing. */
    public static final int MAX_BYTES = 7 * CalendarFile.MAX_BYTES + 256;

    private static final int MAX_TEXTS = 4;
    private static final String AGREED_FIELD = "agreed";
    private static final String OWN_FIELD = "own";
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    /** Encodes this state as CBOR, the format in which it is stored. */
    public byte[] encode() {
        ObjectNode node = CBOR.createObjectNode();
        ArrayNode agreed = node.putArray(AGREED_FIELD);
        agreedTexts.forEach(agreed::add);
        ArrayNode own = node.putArray(OWN_FIELD);
        ownTexts.forEach(own::add);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode the saved calendar", e);
        }
    }

    /**
     * Decodes the stored CBOR. The caller parses and checks the texts.
     *
     * @throws IOException if the bytes are not a saved calendar
     */
    public static SavedCalendar decode(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException("saved calendar: exceeds the maximum of " + MAX_BYTES + " bytes");
        }
        try {
            JsonNode node = CBOR.readTree(bytes);
            return new SavedCalendar(texts(node.path(AGREED_FIELD)), texts(node.path(OWN_FIELD)));
        } catch (IOException | RuntimeException e) {
            throw new IOException("saved calendar: cannot be decoded", e);
        }
    }

    private static List<byte[]> texts(JsonNode list) throws IOException {
        if (!list.isArray()) {
            throw new IOException("saved calendar: expected a list of texts");
        }
        List<byte[]> texts = new ArrayList<>();
        for (JsonNode text : list) {
            if (!text.isBinary() || texts.size() == MAX_TEXTS) {
                throw new IOException(
                        "saved calendar: expected a list of at most "
                                + MAX_TEXTS
                                + " binary texts");
            }
            texts.add(text.binaryValue());
        }
        return texts;
    }
}
