package loadbalancer.snapshot;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;

/**
 * Reads a snapshot from JSON. Unknown fields and additional elements at the end of a row are
 * skipped, since later versions may add some. An instance reads one snapshot.
 */
final class SnapshotReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int OVERALL_VALUES = 6;

    private final JsonParser parser;
    private long savedAtMillis;
    private String discoveryAddress = "";
    private long listVersion;
    private long discoverySilenceMillis = Snapshot.NEVER_CONTACTED;
    private final List<ListedEndpoint> listedEndpoints = new ArrayList<>();
    private final double[] overall = new double[OVERALL_VALUES];
    private final List<ClassSnapshot> classes = new ArrayList<>();
    private final List<EndpointSnapshot> endpoints = new ArrayList<>();

    private SnapshotReader(JsonParser parser) {
        this.parser = parser;
    }

    /** Reads the JSON that starts at an offset and extends to the end of the file. */
    static Snapshot read(byte[] file, int offset) throws IOException, CorruptSnapshotException {
        try (JsonParser parser = JSON.createParser(file, offset, file.length - offset)) {
            return new SnapshotReader(parser).read();
        }
    }

    private Snapshot read() throws IOException, CorruptSnapshotException {
        parser.nextToken();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            readField(name);
        }
        return new Snapshot(
                savedAtMillis,
                discoveryAddress,
                listVersion,
                discoverySilenceMillis,
                listedEndpoints,
                new LoadBalancerSnapshot(
                        overall[0],
                        overall[1],
                        overall[2],
                        overall[3],
                        overall[4],
                        overall[5],
                        classes,
                        endpoints));
    }

    private void readField(String name) throws IOException, CorruptSnapshotException {
        switch (name) {
            case SnapshotFieldNames.SAVED_AT_MILLIS -> savedAtMillis = parser.getLongValue();
            case SnapshotFieldNames.DISCOVERY_ADDRESS -> discoveryAddress = parser.getText();
            case SnapshotFieldNames.LIST_VERSION -> listVersion = parser.getLongValue();
            case SnapshotFieldNames.DISCOVERY_SILENCE_MILLIS ->
                    discoverySilenceMillis = parser.getLongValue();
            case SnapshotFieldNames.OVERALL_MEASUREMENTS -> readOverall();
            case SnapshotFieldNames.LISTED_ENDPOINTS -> {
                while (nextRow()) {
                    listedEndpoints.add(listedEndpoint());
                    skipRestOfRow();
                }
            }
            case SnapshotFieldNames.CLASS_MEASUREMENTS -> {
                while (nextRow()) {
                    classes.add(new ClassSnapshot(nextText(), nextDouble(), nextDouble()));
                    skipRestOfRow();
                }
            }
            case SnapshotFieldNames.ENDPOINT_MEASUREMENTS -> {
                while (nextRow()) {
                    endpoints.add(endpoint());
                    skipRestOfRow();
                }
            }
            default -> parser.skipChildren();
        }
    }

    private void readOverall() throws IOException {
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            overall[i] = parser.getDoubleValue();
        }
    }

    private boolean nextRow() throws IOException {
        return parser.nextToken() == JsonToken.START_ARRAY;
    }

    private void skipRestOfRow() throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            parser.skipChildren();
        }
    }

    private ListedEndpoint listedEndpoint() throws IOException, CorruptSnapshotException {
        return new ListedEndpoint(
                nextText(),
                nextText(),
                nextText(),
                nextText(),
                (int) nextLong(),
                SnapshotFieldNames.state(nextText()),
                nextDouble(),
                nextLong());
    }

    private EndpointSnapshot endpoint() throws IOException {
        return new EndpointSnapshot(
                nextText(),
                nextLong(),
                nextLong(),
                nextDouble(),
                nextDouble(),
                nextDouble(),
                nextDouble(),
                nextDouble(),
                nextDouble(),
                nextLong(),
                nextLong(),
                nextDouble(),
                nextDouble(),
                (int) nextLong());
    }

    private String nextText() throws IOException {
        parser.nextToken();
        return parser.getText();
    }

    private long nextLong() throws IOException {
        parser.nextToken();
        return parser.getLongValue();
    }

    private double nextDouble() throws IOException {
        parser.nextToken();
        return parser.getDoubleValue();
    }
}
