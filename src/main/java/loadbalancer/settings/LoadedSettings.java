package loadbalancer.settings;

import java.util.List;
import loadbalancer.LoadBalancerSettings;

/**
 * Settings as read, with the names that they use. The simulator's wire gives classes, tenants,
 * zones and kinds of machines by their indexes in these lists, HTTP and discovery by name.
 *
 * @param reportValueNames of the values of a load report, in the order in which they are reported
 */
public record LoadedSettings(
        LoadBalancerSettings settings,
        List<String> reportValueNames,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> machineKindNames) {
    /** Returns other settings with the same names. */
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
