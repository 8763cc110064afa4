package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;

/** Reads endpoint lists in the discovery service's JSON format. Unknown fields are skipped. */
final class EndpointListReader {
    private EndpointListReader() {}

    /**
     * Reads one list; the parser must be at the start of its object.
     *
     * @throws InvalidInputException with the name of a field that is missing or not valid
     * @throws IOException if the input is not JSON
     */
    static EndpointListUpdate read(JsonParser json) throws InvalidInputException, IOException {
        long version = -1;
        boolean isComplete = false;
        List<EndpointListUpdate.Entry> entries = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            switch (name) {
                case DiscoveryFieldNames.VERSION -> version = json.getLongValue();
                case DiscoveryFieldNames.IS_COMPLETE -> isComplete = json.getBooleanValue();
                case DiscoveryFieldNames.ENDPOINTS -> {
                    require(value == JsonToken.START_ARRAY, name);
                    entries = readEntries(json);
                }
                default -> json.skipChildren();
            }
        }
        require(json.currentToken() == JsonToken.END_OBJECT, DiscoveryFieldNames.ENDPOINTS);
        require(version >= 0, DiscoveryFieldNames.VERSION);
        require(entries != null, DiscoveryFieldNames.ENDPOINTS);
        return new EndpointListUpdate(version, isComplete, entries);
    }

    private static List<EndpointListUpdate.Entry> readEntries(JsonParser json)
            throws InvalidInputException, IOException {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        while (json.nextToken() == JsonToken.START_OBJECT) {
            entries.add(readEntry(json));
        }
        return entries;
    }

    private static EndpointListUpdate.Entry readEntry(JsonParser json)
            throws InvalidInputException, IOException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String machineKind = "";
        int cell = 0;
        EndpointState state = null;
        double capacityWeight = 1;
        long startedAtMillis = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case DiscoveryFieldNames.ID -> id = json.getText();
                case DiscoveryFieldNames.ADDRESS -> address = Config.address(json.getText());
                case DiscoveryFieldNames.ZONE -> zone = json.getText();
                case DiscoveryFieldNames.MACHINE_KIND -> machineKind = json.getText();
                case DiscoveryFieldNames.CELL -> cell = json.getIntValue();
                case DiscoveryFieldNames.STATE ->
                        state = DiscoveryFieldNames.STATES.get(json.getText());
                case DiscoveryFieldNames.CAPACITY_WEIGHT -> capacityWeight = json.getDoubleValue();
                case DiscoveryFieldNames.STARTED_AT_MILLIS -> startedAtMillis = json.getLongValue();
                default -> json.skipChildren();
            }
        }
        require(id != null, DiscoveryFieldNames.ID);
        require(state != null, DiscoveryFieldNames.STATE);
        require(address != null || state == EndpointState.REMOVED, DiscoveryFieldNames.ADDRESS);
        return new EndpointListUpdate.Entry(
                id, address, zone, machineKind, cell, state, capacityWeight, startedAtMillis);
    }

    /**
     * Requires that a field is present and valid.
     *
     * @throws InvalidInputException with the field's name if {@code isValid} is false
     */
    static void require(boolean isValid, String field) throws InvalidInputException {
        if (!isValid) {
            throw new InvalidInputException(
                    "field \"" + field + "\" is missing or has an invalid value");
        }
    }
}
