package loadbalancer.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.Micros;

/** Parses batches and passes each event to the {@link EventHandler} as soon as it is read. */
final class BatchProcessor {
    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION).build();

    private final EventHandler events;
    private final ReplyWriter reply;

    BatchProcessor(EventHandler events, ReplyWriter reply) {
        this.events = events;
        this.reply = reply;
    }

    /** Fields of a batch that have been read so far. */
    private static final class BatchState {
        double clockSeconds = Double.NaN;
        boolean hasEvents;

        /** Whether the events were skipped because they precede the clock in the JSON object. */
        boolean areEventsSkipped;

        boolean hasClock() {
            return !Double.isNaN(clockSeconds);
        }

        long nowMicros() {
            return Micros.fromSeconds(clockSeconds);
        }
    }

    /**
     * Processes one batch and returns the reply, which is valid until the next call.
     *
     * @throws InvalidInputException if the line is not a batch, or one of its events is invalid
     */
    ByteArrayOutputStream process(byte[] line, int length)
            throws InvalidInputException, IOException {
        reply.begin();
        BatchState batch = new BatchState();
        try (JsonParser parser = JSON.createParser(line, 0, length)) {
            readBatch(parser, batch);
        } catch (JsonProcessingException e) {
            throw new MalformedBatchException(
                    "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        if (!batch.hasClock()) {
            throw new MalformedBatchException(
                    "no clock: field " + WireFieldNames.CLOCK_SECONDS + " must be a number");
        }
        if (!batch.hasEvents) {
            throw new MalformedBatchException(
                    "no events: field " + WireFieldNames.EVENTS + " must be an array");
        }
        if (batch.areEventsSkipped) {
            readSkippedEvents(line, length, batch.nowMicros());
        }
        return reply.end();
    }

    private void readBatch(JsonParser parser, BatchState batch)
            throws InvalidInputException, IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedBatchException("not a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken token = parser.nextToken();
            if (name.equals(WireFieldNames.CLOCK_SECONDS) && token.isNumeric()) {
                batch.clockSeconds = parser.getDoubleValue();
            } else if (name.equals(WireFieldNames.EVENTS) && token == JsonToken.START_ARRAY) {
                batch.hasEvents = true;
                batch.areEventsSkipped = !batch.hasClock();
                if (batch.areEventsSkipped) {
                    parser.skipChildren();
                } else {
                    readEvents(parser, batch.nowMicros());
                }
            } else {
                parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new MalformedBatchException("unexpected content after the end of the batch");
        }
    }

    /** Parses a batch again to read its events, which precede the clock that is now known. */
    private void readSkippedEvents(byte[] line, int length, long nowMicros)
            throws InvalidInputException, IOException {
        try (JsonParser parser = JSON.createParser(line, 0, length)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isEvents = parser.currentName().equals(WireFieldNames.EVENTS);
                parser.nextToken();
                if (isEvents) {
                    readEvents(parser, nowMicros);
                } else {
                    parser.skipChildren();
                }
            }
        }
    }

    private void readEvents(JsonParser parser, long nowMicros)
            throws InvalidInputException, IOException {
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            events.handle(EventReader.read(parser), nowMicros);
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new MalformedBatchException("an event is not a JSON object");
        }
    }
}
