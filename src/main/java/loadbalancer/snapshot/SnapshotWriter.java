package loadbalancer.snapshot;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;

/** Writes a snapshot as JSON. Stateless. */
final class SnapshotWriter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Precision of smoothed measurements, for which more digits would not be significant. */
    private static final MathContext SIGNIFICANT_DIGITS = new MathContext(5);

    private SnapshotWriter() {}

    static byte[] write(Snapshot snapshot) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField(SnapshotFieldNames.SAVED_AT_MILLIS, snapshot.savedAtMillis());
            json.writeStringField(
                    SnapshotFieldNames.DISCOVERY_ADDRESS, snapshot.discoveryAddress());
            json.writeNumberField(SnapshotFieldNames.LIST_VERSION, snapshot.listVersion());
            json.writeNumberField(
                    SnapshotFieldNames.DISCOVERY_SILENCE_MILLIS, snapshot.discoverySilenceMillis());
            writeListedEndpoints(json, snapshot.listedEndpoints());
            writePolicySnapshot(json, snapshot.policySnapshot());
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // unreachable: the output is in memory
        }
        return bytes.toByteArray();
    }

    private static void writeListedEndpoints(JsonGenerator json, List<ListedEndpoint> endpoints)
            throws IOException {
        json.writeArrayFieldStart(SnapshotFieldNames.LISTED_ENDPOINTS);
        for (ListedEndpoint endpoint : endpoints) {
            json.writeStartArray();
            json.writeString(endpoint.id());
            json.writeString(endpoint.address());
            json.writeString(endpoint.zone());
            json.writeString(endpoint.machineKind());
            json.writeNumber(endpoint.cellIndex());
            json.writeString(SnapshotFieldNames.stateName(endpoint.state()));
            writeNumber(json, endpoint.capacityWeight());
            json.writeNumber(endpoint.startedAtMillis());
            json.writeEndArray();
        }
        json.writeEndArray();
    }

    private static void writePolicySnapshot(JsonGenerator json, LoadBalancerSnapshot policySnapshot)
            throws IOException {
        json.writeArrayFieldStart(SnapshotFieldNames.OVERALL_MEASUREMENTS);
        writeNumber(json, policySnapshot.responseTimeMicros());
        writeNumber(json, policySnapshot.responseTimePerQueuedMicros());
        writeNumber(json, policySnapshot.unitDurationMicros());
        writeNumber(json, policySnapshot.warmWorkRate());
        writeNumber(json, policySnapshot.requestCostMicros());
        writeNumber(json, policySnapshot.requestsPerSecond());
        json.writeEndArray();
        json.writeArrayFieldStart(SnapshotFieldNames.CLASS_MEASUREMENTS);
        for (ClassSnapshot requestClass : policySnapshot.classes()) {
            json.writeStartArray();
            json.writeString(requestClass.name());
            writeNumber(json, requestClass.responseTimeMicros());
            writeNumber(json, requestClass.rejectedAfterMicros());
            json.writeEndArray();
        }
        json.writeEndArray();
        json.writeArrayFieldStart(SnapshotFieldNames.ENDPOINT_MEASUREMENTS);
        for (EndpointSnapshot endpoint : policySnapshot.endpoints()) {
            writeEndpoint(json, endpoint);
        }
        json.writeEndArray();
    }

    private static void writeEndpoint(JsonGenerator json, EndpointSnapshot endpoint)
            throws IOException {
        json.writeStartArray();
        json.writeString(endpoint.id());
        json.writeNumber(endpoint.launchedAtMicros());
        json.writeNumber(endpoint.sinceLastResponseMicros());
        writeNumber(json, endpoint.logWeight());
        writeNumber(json, endpoint.concurrencyLimit());
        writeNumber(json, endpoint.minUnitDurationMicros());
        writeNumber(json, endpoint.responseTimeMicros());
        writeNumber(json, endpoint.responseTimePerQueuedMicros());
        writeNumber(json, endpoint.errorRatio());
        json.writeNumber(endpoint.ejectionLeftMicros());
        json.writeNumber(endpoint.nextEjectionMicros());
        writeNumber(json, endpoint.completedWorkRate());
        writeNumber(json, endpoint.slowStartTokens());
        json.writeNumber(endpoint.inFlightRequests());
        json.writeEndArray();
    }

    private static void writeNumber(JsonGenerator json, double value) throws IOException {
        json.writeNumber(
                Double.isFinite(value)
                        ? new BigDecimal(value, SIGNIFICANT_DIGITS).stripTrailingZeros().toString()
                        : "0");
    }
}
