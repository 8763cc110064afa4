package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.SiblingProcess;
import loadbalancer.policy.state.TenantQuotas;
import loadbalancer.policy.state.Traffic;

/**
 * Creates the settings, the measurements and the rules that act on endpoints, and connects them.
 * Contains no policy decisions.
 */
final class EndpointComponents {
    final DerivedSettings settings = new DerivedSettings();
    final EndpointList endpoints = new EndpointList();
    final Traffic traffic = new Traffic();
    final TenantQuotas tenantQuotas = new TenantQuotas();
    final ServiceTimes times = new ServiceTimes();
    final PeerLoad peerLoad = new PeerLoad(traffic, times);
    final SiblingProcess sibling = new SiblingProcess();
    final UtilizationWeights weights = new UtilizationWeights();
    final OutlierDetection outliers = new OutlierDetection(settings, endpoints, times);
    final Subsetting subsetting = new Subsetting(settings, endpoints, outliers);
    final KeyAffinity keyAffinity = new KeyAffinity(settings, endpoints, outliers);
    final EndpointTrust trust = new EndpointTrust(settings);
    final ConcurrencyLimits limits;
    final SlowStart slowStart;
    final EndpointListUpdates listUpdates;
    final EndpointCapacity capacity;
    final InFlightExchange exchange;
    final BackgroundProbing backgroundProbing;
    final PeriodicMeasurement measurement;
    final StateExport stateExport;

    EndpointComponents(RandomGenerator random, LoadBalancerActions actions) {
        limits = new ConcurrencyLimits(settings, weights, random);
        slowStart = new SlowStart(settings, traffic, peerLoad, subsetting, sibling, random);
        EndpointFactory factory =
                new EndpointFactory(settings, weights, outliers, times, limits, slowStart);
        listUpdates = new EndpointListUpdates(settings, endpoints, factory, trust, actions, random);
        capacity =
                new EndpointCapacity(settings, peerLoad, traffic, times, limits, slowStart, trust);
        exchange = new InFlightExchange(settings, endpoints, subsetting, peerLoad, actions);
        backgroundProbing = new BackgroundProbing(settings, endpoints, traffic, actions, random);
        measurement =
                new PeriodicMeasurement(endpoints, slowStart, traffic, times, weights, random);
        EndpointRestoration restoration =
                new EndpointRestoration(endpoints, peerLoad, limits, times, trust, sibling);
        stateExport = new StateExport(endpoints, times, traffic, slowStart, restoration);
    }

    /**
     * Replaces the settings in all components.
     *
     * @throws IllegalArgumentException with the name of the field if a value is invalid; the old
     *     settings then stay in force
     */
    void updateSettings(LoadBalancerSettings next) {
        settings.update(next);
        peerLoad.setMessageLifetimeMicros(settings.peerMessageLifetimeMicros());
        traffic.updateClasses(next.requestClasses());
        tenantQuotas.update(next.tenantQuotas(), next.balancerCount());
    }
}
