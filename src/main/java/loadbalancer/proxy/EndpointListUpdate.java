package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.settings.LoadedSettings;

/** A list of upstreams if {@code full}, or changes of one, as of a version of discovery's. */
public record EndpointListUpdate(long version, boolean full, List<Entry> entries) {
    /** Of nobody. */
    public static final EndpointListUpdate EMPTY = new EndpointListUpdate(0, true, List.of());

    /** One upstream as listed; {@code startedMs} is Unix time, 0 for long ago. */
    public record Entry(
            String id,
            InetSocketAddress addr,
            String zone,
            String kind,
            int cell,
            EndpointState state,
            double weight,
            long startedMs) {

        /**
         * The same for the module, whose clock is Unix time in microseconds that never steps. An
         * entry told again thus has exactly the same start, and only a real restart looks like one.
         */
        public EndpointDescriptor toDescriptor(LoadedSettings facts) {
            return new EndpointDescriptor(
                    id,
                    place(facts.zoneNames(), zone),
                    place(facts.machineKindNames(), kind),
                    cell,
                    state,
                    weight,
                    startedMs * 1_000);
        }

        /**
         * A name that the settings lack gets a place of its own, so that two such zones aren't one
         * group.
         */
        private static int place(List<String> names, String name) {
            int place = names.indexOf(name);
            return place >= 0 ? place : names.size() + (name.hashCode() & 0xFFFFFF);
        }
    }
}
