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

/** Reading and writing of single values, each checked for its type and range. */
final class Cbor {
    private static final CBORFactory FACTORY =
            CBORFactory.builder()
                    // Else each unknown name that somebody sends would stay in a table for the life
                    // of the process.
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(CborValidator.DEEPEST + 1)
                                    .maxStringLength(DatagramCodec.LONGEST)
                                    .maxNameLength(64)
                                    .build())
                    .build();

    /** Writes something. */
    interface Part {
        void write(JsonGenerator out) throws IOException;
    }

    private Cbor() {}

    static byte[] bytes(Part part) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            part.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in memory
        }
        return bytes.toByteArray();
    }

    /** Only for what {@link CborValidator} has looked over. */
    static JsonParser parser(byte[] bytes, int from, int length) throws IOException {
        return FACTORY.createParser(bytes, from, length);
    }

    /** Begins an array of so many values. */
    static void array(JsonGenerator out, int size) throws IOException {
        out.writeStartArray(null, size);
    }

    static void numbers(JsonGenerator out, long[] numbers) throws IOException {
        out.writeArray(numbers, 0, numbers.length);
    }

    static void expect(JsonParser in, JsonToken token) throws IOException {
        if (in.nextToken() != token) {
            throw new IOException("expected " + token + ", got " + in.currentToken());
        }
    }

    /** Passes over what a later program has added, up to the end of an array. */
    static void rest(JsonParser in) throws IOException {
        for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
            if (t == null) {
                throw new IOException("ends within an array");
            }
            in.skipChildren();
        }
    }

    static long number(JsonParser in) throws IOException {
        expect(in, JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    static long number(JsonParser in, long least, long most) throws IOException {
        long number = number(in);
        if (number < least || number > most) {
            throw new IOException(
                    "expected a number from " + least + " to " + most + ", got " + number);
        }
        return number;
    }

    static String text(JsonParser in, int shortest, int longest) throws IOException {
        expect(in, JsonToken.VALUE_STRING);
        String text = in.getText();
        if (text.length() < shortest
                || text.length() > longest
                || text.chars().anyMatch(Character::isISOControl)) {
            throw new IOException(
                    "a text of " + text.length() + " characters, or with unprintable ones");
        }
        return text;
    }

    static boolean truth(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IOException("expected true or false, got " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    static byte[] binary(JsonParser in, int longest) throws IOException {
        expect(in, JsonToken.VALUE_EMBEDDED_OBJECT);
        // Not getBinaryValue: that takes up to 250 kB by the length that is claimed.
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        in.readBinaryValue(bytes);
        if (bytes.size() > longest) {
            throw new IOException(bytes.size() + " bytes, " + longest + " are allowed");
        }
        return bytes.toByteArray();
    }

    static long[] numbers(JsonParser in, int most, long least) throws IOException {
        expect(in, JsonToken.START_ARRAY);
        long[] numbers = new long[most];
        int count = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.VALUE_NUMBER_INT
                    || count == most
                    || in.getLongValue() < least) {
                throw new IOException("expected at most " + most + " numbers from " + least);
            }
            numbers[count++] = in.getLongValue();
        }
        return Arrays.copyOf(numbers, count);
    }
}
