package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.settings.LoadedSettings;

/**
 * An endpoint list, or changes of one.
 *
 * @param version discovery's version of the list
 * @param isComplete whether the entries are all endpoints, not only those that have changed
 */
public record EndpointListUpdate(long version, boolean isComplete, List<Entry> entries) {
    /** The empty list. */
    public static final EndpointListUpdate EMPTY = new EndpointListUpdate(0, true, List.of());

    /**
     * One endpoint as listed.
     *
     * @param startedAtMillis Unix time of its process's start, 0 for long ago
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

        /**
         * The endpoint as the policy has it, whose clock is Unix time in microseconds: an entry
         * that is listed again has exactly the same start, and only a restart looks like one.
         */
        public EndpointDescriptor toDescriptor(LoadedSettings facts) {
            return new EndpointDescriptor(
                    id,
                    indexOf(facts.zoneNames(), zone),
                    indexOf(facts.machineKindNames(), machineKind),
                    cell,
                    state,
                    capacityWeight,
                    startedAtMillis * 1_000);
        }

        /**
         * A name that the settings lack gets an index of its own, so that two such zones are not
         * taken for one.
         */
        private static int indexOf(List<String> names, String name) {
            int index = names.indexOf(name);
            return index >= 0 ? index : names.size() + (name.hashCode() & 0xFFFFFF);
        }
    }
}
