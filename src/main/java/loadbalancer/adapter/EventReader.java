package loadbalancer.adapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.Micros;
import loadbalancer.settings.SettingsReader;

/** Reads events from JSON; unknown fields are skipped. Stateless. */
final class EventReader {
    /**
     * Maximum number of values to read from a load report. Reports have at most four; values beyond
     * this limit, which a later protocol version may add, are skipped.
     */
    private static final int MAX_REPORT_VALUES = 8;

    private EventReader() {}

    /** Reads one event. The parser must be at the start token of the event's object. */
    static WireEvent read(JsonParser parser) throws InvalidInputException, IOException {
        WireEvent event = new WireEvent();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken token = parser.nextToken();
            if (token == JsonToken.VALUE_NULL) {
                continue;
            }
            if (!readText(event, name, parser, token)
                    && !readNumber(event, name, parser)
                    && !readNested(event, name, parser, token)) {
                parser.skipChildren();
            }
        }
        return event;
    }

    private static boolean readText(
            WireEvent event, String name, JsonParser parser, JsonToken token) throws IOException {
        switch (name) {
            case WireFieldNames.KIND -> event.kind = parser.getText();
            case WireFieldNames.REQUEST_ID -> event.requestId = parser.getText();
            case WireFieldNames.ENDPOINT_ID -> event.endpointId = parser.getText();
            case WireFieldNames.AFFINITY_KEY -> event.affinityKey = parser.getText();
            case WireFieldNames.TIMER_TOKEN -> event.timerToken = parser.getText();
            case WireFieldNames.UPDATE_TYPE -> event.updateType = parser.getText();
            case WireFieldNames.MESSAGE -> event.messageHex = parser.getText();
            case WireFieldNames.IS_REQUEST_CONCLUDED ->
                    event.isRequestConcluded = token == JsonToken.VALUE_TRUE;
            case WireFieldNames.IS_WRITE -> event.isWrite = token == JsonToken.VALUE_TRUE;
            case WireFieldNames.IS_RETRY -> event.isRetry = token == JsonToken.VALUE_TRUE;
            default -> {
                return false;
            }
        }
        return true;
    }

    private static boolean readNumber(WireEvent event, String name, JsonParser parser)
            throws InvalidFieldException, IOException {
        switch (name) {
            case WireFieldNames.INSTANCE -> event.instance = number(parser, name);
            case WireFieldNames.ATTEMPT_INDEX -> event.attemptIndex = number(parser, name);
            case WireFieldNames.OUTCOME -> event.outcomeCode = number(parser, name);
            case WireFieldNames.DURATION_SECONDS -> event.durationSeconds = number(parser, name);
            case WireFieldNames.EXPECTED_WORK_SECONDS ->
                    event.expectedWorkSeconds = number(parser, name);
            case WireFieldNames.TIME_LEFT_SECONDS -> event.timeLeftSeconds = number(parser, name);
            case WireFieldNames.CLASS_INDEX -> event.classIndex = number(parser, name);
            case WireFieldNames.TENANT_INDEX -> event.tenantIndex = number(parser, name);
            case WireFieldNames.PEER_INDEX -> event.peerIndex = number(parser, name);
            case WireFieldNames.SEED -> readSeed(event, parser);
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void readSeed(WireEvent event, JsonParser parser)
            throws InvalidFieldException, IOException {
        event.seed = number(parser, WireFieldNames.SEED);
        event.exactSeed =
                parser.currentToken() == JsonToken.VALUE_NUMBER_INT
                        ? parser.getBigIntegerValue().longValue()
                        : (long) event.seed;
    }

    private static boolean readNested(
            WireEvent event, String name, JsonParser parser, JsonToken token)
            throws InvalidInputException, IOException {
        if (name.equals(WireFieldNames.SETTINGS) && token == JsonToken.START_OBJECT) {
            event.settings = SettingsReader.read(parser);
        } else if (name.equals(WireFieldNames.LOAD_REPORT) && token == JsonToken.START_ARRAY) {
            event.reportValues = readReportValues(parser);
        } else if (name.equals(WireFieldNames.ENDPOINTS) && token == JsonToken.START_ARRAY) {
            event.endpoints = readEndpoints(parser);
        } else {
            return false;
        }
        return true;
    }

    private static double[] readReportValues(JsonParser parser) throws IOException {
        double[] values = new double[MAX_REPORT_VALUES];
        int count = 0;
        JsonToken token = parser.nextToken();
        while (token != null && token != JsonToken.END_ARRAY) {
            if (count < values.length) {
                values[count++] = token.isNumeric() ? parser.getDoubleValue() : Double.NaN;
            }
            parser.skipChildren();
            token = parser.nextToken();
        }
        return Arrays.copyOf(values, count);
    }

    private static List<EndpointDescriptor> readEndpoints(JsonParser parser)
            throws InvalidInputException, IOException {
        List<EndpointDescriptor> endpoints = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            endpoints.add(readEndpoint(parser));
        }
        return endpoints;
    }

    private static EndpointDescriptor readEndpoint(JsonParser parser)
            throws InvalidInputException, IOException {
        String id = null;
        int zoneIndex = 0;
        int machineKindIndex = 0;
        int cellIndex = 0;
        EndpointState state = null;
        double capacityWeight = 1;
        double launchedAtSeconds = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case WireFieldNames.ENDPOINT_ID -> id = parser.getText();
                case WireFieldNames.ZONE_INDEX -> zoneIndex = (int) number(parser, name);
                case WireFieldNames.MACHINE_KIND_INDEX ->
                        machineKindIndex = (int) number(parser, name);
                case WireFieldNames.CELL_INDEX -> cellIndex = (int) number(parser, name);
                case WireFieldNames.ENDPOINT_STATE ->
                        state = WireFieldNames.ENDPOINT_STATES.get(parser.getText());
                case WireFieldNames.CAPACITY_WEIGHT -> capacityWeight = number(parser, name);
                case WireFieldNames.LAUNCHED_AT_SECONDS -> launchedAtSeconds = number(parser, name);
                default -> parser.skipChildren();
            }
        }
        requireInEndpoint(id != null, WireFieldNames.ENDPOINT_ID);
        requireInEndpoint(state != null, WireFieldNames.ENDPOINT_STATE);
        return new EndpointDescriptor(
                id,
                zoneIndex,
                machineKindIndex,
                cellIndex,
                state,
                capacityWeight,
                Micros.fromSeconds(launchedAtSeconds));
    }

    private static void requireInEndpoint(boolean isPresent, String fieldName)
            throws MissingFieldException {
        WireEvent.require(isPresent, fieldName + " (in " + WireFieldNames.ENDPOINTS + ")");
    }

    private static double number(JsonParser parser, String fieldName)
            throws InvalidFieldException, IOException {
        if (!parser.currentToken().isNumeric()) {
            throw new InvalidFieldException(fieldName, "is not a number");
        }
        return parser.getDoubleValue();
    }
}
