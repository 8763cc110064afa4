package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.settings.LoadedSettings;

/**
 * A complete endpoint list, or the changes to one.
 *
 * @param version version of the list at the discovery service
 * @param isComplete whether the entries are all endpoints; if false, only those that changed
 */
public record EndpointListUpdate(long version, boolean isComplete, List<Entry> entries) {
    /** A complete list without endpoints. */
    public static final EndpointListUpdate EMPTY = new EndpointListUpdate(0, true, List.of());

    /**
     * One endpoint of the list.
     *
     * @param startedAtMillis Unix time at which its process started; 0 if that was long ago
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String machineKind,
            int cell,
            EndpointState state,
            double capacityWeight,
            long startedAtMillis) {

        /** Returns this entry as that of a removed endpoint. */
        Entry removed() {
            return new Entry(
                    id,
                    address,
                    zone,
                    machineKind,
                    cell,
                    EndpointState.REMOVED,
                    capacityWeight,
                    startedAtMillis);
        }

        /**
         * Converts the entry for the policy. The start is the listed Unix time in microseconds, the
         * unit of the policy's clock, and depends on no other clock. An entry that is listed again
         * therefore has exactly the same start, and only a restarted process has a new one.
         */
        public EndpointDescriptor toDescriptor(LoadedSettings settings) {
            return new EndpointDescriptor(
                    id,
                    indexOf(settings.zoneNames(), zone),
                    indexOf(settings.machineKindNames(), machineKind),
                    cell,
                    state,
                    capacityWeight,
                    startedAtMillis * 1_000);
        }

        /**
         * Returns the index of a name in the settings. A name that the settings lack gets an index
         * beyond them, derived from its hash, so that two unknown zones are not treated as one.
         */
        private static int indexOf(List<String> names, String name) {
            int index = names.indexOf(name);
            return index >= 0 ? index : names.size() + (name.hashCode() & 0xFFFFFF);
        }
    }
}
