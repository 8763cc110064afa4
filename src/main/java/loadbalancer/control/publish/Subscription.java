package loadbalancer.control.publish;

/** One admitted subscriber, to be ended by {@link Publisher#unsubscribe}. */
public interface Subscription {
    /** The subscriber's name. */
    String subscriber();
}
