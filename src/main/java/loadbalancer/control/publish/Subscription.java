package loadbalancer.control.publish;

/** The handle of an admitted subscription, which {@link Publisher#unsubscribe} ends. */
public interface Subscription {
    /** Returns the subscriber's name. */
    String subscriber();
}
