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

/** Reads one batch at a time and hands its events on as they are read. */
final class BatchProcessor {
    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION).build();

    private final EventHandler events;
    private final ReplyWriter reply;

    BatchProcessor(EventHandler events, ReplyWriter reply) {
        this.events = events;
        this.reply = reply;
    }

    /** What the fields of a batch have told so far. */
    private static final class BatchState {
        double clockSeconds = Double.NaN;
        boolean hasEvents;

        /** The events came before the clock and were skipped. */
        boolean areEventsSkipped;

        boolean hasClock() {
            return !Double.isNaN(clockSeconds);
        }

        long nowMicros() {
            return Micros.fromSeconds(clockSeconds);
        }
    }

    /**
     * Processes one batch and returns the reply; valid until the next batch.
     *
     * @throws InvalidInputException if the line is not a batch, or an event of it is invalid
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
            throw new MalformedBatchException("no clock (" + WireFieldNames.CLOCK_SECONDS + ")");
        }
        if (!batch.hasEvents) {
            throw new MalformedBatchException("no array of events (" + WireFieldNames.EVENTS + ")");
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
            throw new MalformedBatchException("text after the end of the batch");
        }
    }

    /** Reads the events of a batch whose clock came after them, now that the time is known. */
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
            throw new MalformedBatchException("an event that is not an object");
        }
    }
}
