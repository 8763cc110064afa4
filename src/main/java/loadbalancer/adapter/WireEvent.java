package loadbalancer.adapter;

import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.settings.LoadedSettings;

/**
 * Fields of one event of any kind, as read by {@link EventReader}. An absent string or object is
 * null, an absent number is NaN, and an absent boolean is false. Times are in seconds, as in the
 * protocol.
 */
final class WireEvent {
    String kind;
    double instance = Double.NaN;
    double seed = Double.NaN;

    /** Seed as a 64-bit integer, which {@link #seed} may not represent exactly. */
    long exactSeed;

    LoadedSettings settings;
    String requestId;
    String endpointId;
    double attemptIndex = Double.NaN;
    double outcomeCode = Double.NaN;
    double durationSeconds = Double.NaN;
    Boolean isRequestConcluded;

    /** Values of a load report, in the order of the value names in the settings. */
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
     * Checks that a required field is present.
     *
     * @throws MissingFieldException if the field is absent
     */
    static void require(boolean isPresent, String fieldName) throws MissingFieldException {
        if (!isPresent) {
            throw new MissingFieldException(fieldName);
        }
    }

    /** Returns a required number, truncated to an integer. */
    static int requiredInteger(double value, String fieldName) throws MissingFieldException {
        require(!Double.isNaN(value), fieldName);
        return (int) value;
    }
}
