package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/** Reads and writes single CBOR values and checks their types and ranges. Stateless. */
final class CborValues {
    private static final int MAX_FIELD_NAME_CHARS = 64;

    private static final CBORFactory FACTORY =
            CBORFactory.builder()
                    // Canonical names would stay in a table until the process exits.
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(CborValidator.MAX_DEPTH + 1)
                                    .maxStringLength(DatagramCodec.MAX_DATAGRAM_BYTES)
                                    .maxNameLength(MAX_FIELD_NAME_CHARS)
                                    .build())
                    .build();

    /** Writes a value. */
    interface ValueWriter {
        void write(JsonGenerator out) throws IOException;
    }

    private CborValues() {}

    static byte[] encode(ValueWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException("a write to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /** Creates a parser of bytes that {@link CborValidator} has validated. */
    static JsonParser parser(byte[] bytes, int from, int length) throws IOException {
        return FACTORY.createParser(bytes, from, length);
    }

    /** Starts an array of that size. */
    static void startArray(JsonGenerator out, int size) throws IOException {
        out.writeStartArray(null, size);
    }

    static void writeNumbers(JsonGenerator out, long[] numbers) throws IOException {
        out.writeArray(numbers, 0, numbers.length);
    }

    static void expect(JsonParser in, JsonToken token) throws IOException {
        if (in.nextToken() != token) {
            throw new InvalidCborException("expected " + token + ", got " + in.currentToken());
        }
    }

    /** Skips the remaining values of an array, which a later version may have added. */
    static void skipRestOfArray(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new InvalidCborException("the input ends within an array");
            }
            in.skipChildren();
            token = in.nextToken();
        }
    }

    static long readNumber(JsonParser in) throws IOException {
        expect(in, JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    static long readNumber(JsonParser in, long min, long max) throws IOException {
        long number = readNumber(in);
        if (number < min || number > max) {
            throw new InvalidCborException(
                    "expected a number from " + min + " to " + max + ", got " + number);
        }
        return number;
    }

    static String readText(JsonParser in, int minChars, int maxChars) throws IOException {
        expect(in, JsonToken.VALUE_STRING);
        String text = in.getText();
        if (text.length() < minChars
                || text.length() > maxChars
                || text.chars().anyMatch(Character::isISOControl)) {
            throw new InvalidCborException(
                    "a text of "
                            + text.length()
                            + " characters is too short, too long or not printable");
        }
        return text;
    }

    static boolean readBoolean(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new InvalidCborException("expected true or false, got " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    static byte[] readBinary(JsonParser in, int maxBytes) throws IOException {
        expect(in, JsonToken.VALUE_EMBEDDED_OBJECT);
        // getBinaryValue would allocate up to 250 kB according to the claimed length.
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        in.readBinaryValue(bytes);
        if (bytes.size() > maxBytes) {
            throw new InvalidCborException(
                    bytes.size() + " bytes, at most " + maxBytes + " are allowed");
        }
        return bytes.toByteArray();
    }

    static long[] readNumbers(JsonParser in, int maxCount, long min) throws IOException {
        expect(in, JsonToken.START_ARRAY);
        long[] numbers = new long[maxCount];
        int count = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.VALUE_NUMBER_INT
                    || count == maxCount
                    || in.getLongValue() < min) {
                throw new InvalidCborException(
                        "expected at most " + maxCount + " numbers, each at least " + min);
            }
            numbers[count++] = in.getLongValue();
        }
        return Arrays.copyOf(numbers, count);
    }
}
