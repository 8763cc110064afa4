package loadbalancer.control.publish;

/** One admitted subscriber; identity is all that a caller needs of it. */
public interface Subscription {
    /** The subscriber's name. */
    String subscriber();
}
