package loadbalancer.adapter;

import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.settings.LoadedSettings;

/**
 * The fields of one event, whatever its kind, as {@link EventReader} has read them. A text or an
 * object that is absent is null, a number NaN, and a mark false. Times are seconds, as on the wire.
 */
final class WireEvent {
    String kind;
    double instance = Double.NaN;
    double seed = Double.NaN;

    /** The seed with all its digits. */
    long exactSeed;

    LoadedSettings settings;
    String requestId;
    String endpointId;
    double attemptIndex = Double.NaN;
    double outcomeCode = Double.NaN;
    double durationSeconds = Double.NaN;
    Boolean isRequestConcluded;

    /** Values of a load report, in the order of the names in the settings. */
    double[] reportValues;

    boolean isWrite;
    boolean isRetry;
    double expectedWorkSeconds = Double.NaN;
    double timeLeftSeconds = Double.NaN;
    double classIndex = Double.NaN;
    double tenantIndex = Double.NaN;
    String affinityKey;
    String timerToken;
    String updateType;
    List<EndpointDescriptor> endpoints;
    double peerIndex = Double.NaN;
    String messageHex;

    /**
     * Checks that a field is there.
     *
     * @throws MissingFieldException if it is not
     */
    static void require(boolean isPresent, String fieldName) throws MissingFieldException {
        if (!isPresent) {
            throw new MissingFieldException(fieldName);
        }
    }

    /** Returns a number that has to be there, without its fraction. */
    static int requiredInteger(double value, String fieldName) throws MissingFieldException {
        require(!Double.isNaN(value), fieldName);
        return (int) value;
    }
}
