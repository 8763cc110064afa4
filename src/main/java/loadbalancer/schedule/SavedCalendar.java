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
 * What a member saves over a restart, where it has a state folder. Immutable.
 *
 * @param agreedTexts of the revisions that it knows to be agreed
 * @param ownTexts of its operators' files, oldest first: votes that others may have counted
 */
public record SavedCalendar(List<byte[]> agreedTexts, List<byte[]> ownTexts) {
    /** Of a member that starts for the first time, or has no folder. */
    public static final SavedCalendar EMPTY = new SavedCalendar(List.of(), List.of());

    /** Bytes at most: seven texts and the framing. */
    public static final int MAX_BYTES = 7 * CalendarFile.MAX_BYTES + 256;

    private static final int MAX_TEXTS = 4;
    private static final String AGREED_FIELD = "agreed";
    private static final String OWN_FIELD = "own";
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    /** The stored form, CBOR. */
    public byte[] encode() {
        ObjectNode node = CBOR.createObjectNode();
        ArrayNode agreed = node.putArray(AGREED_FIELD);
        agreedTexts.forEach(agreed::add);
        ArrayNode own = node.putArray(OWN_FIELD);
        ownTexts.forEach(own::add);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
    }

    /**
     * Reads the stored form; the texts themselves are checked later.
     *
     * @throws IOException if the bytes are anything else
     */
    public static SavedCalendar decode(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException("saved calendar is longer than " + MAX_BYTES + " bytes");
        }
        try {
            JsonNode node = CBOR.readTree(bytes);
            return new SavedCalendar(texts(node.path(AGREED_FIELD)), texts(node.path(OWN_FIELD)));
        } catch (IOException | RuntimeException e) {
            throw new IOException("saved calendar can't be read", e);
        }
    }

    private static List<byte[]> texts(JsonNode list) throws IOException {
        if (!list.isArray()) {
            throw new IOException("no list of texts");
        }
        List<byte[]> texts = new ArrayList<>();
        for (JsonNode text : list) {
            if (!text.isBinary() || texts.size() == MAX_TEXTS) {
                throw new IOException("no list of at most " + MAX_TEXTS + " texts");
            }
            texts.add(text.binaryValue());
        }
        return texts;
    }
}
