package loadbalancer.schedule;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.schedule.window.CalendarFile;

/**
 * What a member keeps over a restart, where it has a state folder.
 *
 * @param agreed texts of the revisions that it knows to be agreed
 * @param own texts of its operators' files, oldest first: votes that others may have counted
 */
public record SavedCalendar(List<byte[]> agreed, List<byte[]> own) {
    /** Of one that starts for the first time, or has no folder. */
    public static final SavedCalendar NOTHING = new SavedCalendar(List.of(), List.of());

    /** Bytes at most: seven texts and some for the frame. */
    public static final int MOST_BYTES = 7 * CalendarFile.MOST_BYTES + 256;

    private static final int MOST_TEXTS = 4;
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    /** As it is written, in CBOR. */
    public byte[] bytes() {
        ObjectNode node = CBOR.createObjectNode();
        ArrayNode list = node.putArray("agreed");
        agreed.forEach(list::add);
        ArrayNode files = node.putArray("own");
        own.forEach(files::add);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e); // nothing is written but to memory
        }
    }

    /** What was written. Refused if it is anything else; the texts themselves are checked later. */
    public static SavedCalendar read(byte[] bytes) throws IOException {
        if (bytes.length > MOST_BYTES) {
            throw new IOException("kept calendar is longer than " + MOST_BYTES + " bytes");
        }
        try {
            JsonNode node = CBOR.readTree(bytes);
            return new SavedCalendar(texts(node.path("agreed")), texts(node.path("own")));
        } catch (IOException | RuntimeException e) {
            throw new IOException("kept calendar can't be read");
        }
    }

    private static List<byte[]> texts(JsonNode list) throws IOException {
        if (!list.isArray()) {
            throw new IOException();
        }
        List<byte[]> texts = new ArrayList<>();
        for (JsonNode text : list) {
            if (!text.isBinary() || texts.size() == MOST_TEXTS) {
                throw new IOException();
            }
            texts.add(text.binaryValue());
        }
        return texts;
    }
}
