package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.state.OpenRequests;
import loadbalancer.policy.state.PendingRequestQueue;

/** Creates the rules that act on open requests and connects them. Contains no policy decisions. */
final class RequestComponents {
    final PendingRequestQueue pendingQueue = new PendingRequestQueue();
    final LoadProbing probing;
    final FinalResponses finalResponses;
    final SweepTimer sweepTimer;
    final PendingRequests pendingRequests;
    final LoadShedder shedder;
    final AdmissionControl admission;
    final AttemptLifecycle attempts;
    final ContentionAvoidance contention;

    private final OpenRequests openRequests = new OpenRequests();
    private final EndpointComponents rules;
    private final RandomGenerator random;
    private final LoadBalancerActions actions;

    RequestComponents(
            EndpointComponents rules, RandomGenerator random, LoadBalancerActions actions) {
        this.rules = rules;
        this.random = random;
        this.actions = actions;
        RetryEligibility retryEligibility = new RetryEligibility(rules.settings);
        probing = newProbing();
        EndpointEligibility eligibility =
                new EndpointEligibility(retryEligibility, rules.outliers, probing, rules.slowStart);
        EndpointPicker picker = newPicker(eligibility);
        AttemptSender sender = newSender();
        finalResponses =
                new FinalResponses(
                        openRequests, pendingQueue, retryEligibility, rules.traffic, actions);
        sweepTimer = new SweepTimer(actions, random);
        pendingRequests = newPendingRequests(eligibility, picker, sender);
        shedder = newShedder();
        admission = newAdmission();
        FailedAttempts failedAttempts =
                new FailedAttempts(
                        retryEligibility, picker, sender, pendingRequests, finalResponses);
        attempts = newAttemptLifecycle(sender, failedAttempts);
        contention = new ContentionAvoidance(rules.settings, random);
    }

    private LoadProbing newProbing() {
        return new LoadProbing(
                rules.settings,
                rules.peerLoad,
                rules.subsetting,
                rules.outliers,
                pendingQueue,
                rules.capacity,
                actions);
    }

    private EndpointPicker newPicker(EndpointEligibility eligibility) {
        EndpointScore score =
                new EndpointScore(
                        rules.settings,
                        rules.weights,
                        rules.peerLoad,
                        rules.slowStart,
                        rules.trust,
                        rules.outliers,
                        rules.keyAffinity);
        return new EndpointPicker(
                rules.subsetting, rules.outliers, eligibility, rules.capacity, score, random);
    }

    private AttemptSender newSender() {
        return new AttemptSender(
                pendingQueue,
                rules.outliers,
                rules.limits,
                rules.slowStart,
                rules.peerLoad,
                rules.exchange,
                actions);
    }

    private PendingRequests newPendingRequests(
            EndpointEligibility eligibility, EndpointPicker picker, AttemptSender sender) {
        HomeEndpointSender homeSender =
                new HomeEndpointSender(
                        rules.settings,
                        pendingQueue,
                        rules.endpoints,
                        rules.outliers,
                        rules.capacity,
                        eligibility,
                        sender);
        return new PendingRequests(
                pendingQueue, rules.keyAffinity, sweepTimer, probing, homeSender, picker, sender);
    }

    private LoadShedder newShedder() {
        return new LoadShedder(
                rules.settings,
                pendingQueue,
                pendingRequests,
                rules.traffic,
                rules.times,
                finalResponses);
    }

    private AdmissionControl newAdmission() {
        RequestIntake intake =
                new RequestIntake(rules.settings, rules.traffic, rules.tenantQuotas, openRequests);
        return new AdmissionControl(intake, pendingRequests, probing, shedder, finalResponses);
    }

    private AttemptLifecycle newAttemptLifecycle(
            AttemptSender sender, FailedAttempts failedAttempts) {
        OutcomeRecorder outcomes =
                new OutcomeRecorder(
                        rules.settings,
                        rules.times,
                        rules.limits,
                        rules.slowStart,
                        rules.outliers,
                        rules.peerLoad,
                        probing);
        return new AttemptLifecycle(
                openRequests,
                sender,
                outcomes,
                failedAttempts,
                rules.exchange,
                pendingRequests,
                finalResponses);
    }
}
