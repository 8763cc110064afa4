package loadbalancer.settings;

import java.util.List;
import loadbalancer.LoadBalancerSettings;

/**
 * Settings as read, with the names that they define. The simulator's protocol refers to request
 * classes, tenants, zones and machine kinds by their indexes in these lists; HTTP and discovery
 * refer to them by name.
 *
 * @param reportValueNames names of the values of a load report, in the order in which they are
 *     reported
 */
public record LoadedSettings(
        LoadBalancerSettings settings,
        List<String> reportValueNames,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> machineKindNames) {
    /** Returns a copy with other settings and the same names. */
    public LoadedSettings withSettings(LoadBalancerSettings newSettings) {
        return new LoadedSettings(
                newSettings,
                reportValueNames,
                classNames,
                tenantNames,
                zoneNames,
                machineKindNames);
    }
}
