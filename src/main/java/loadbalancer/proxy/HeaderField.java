package loadbalancer.proxy;

/**
 * One field of a message's head; names are as the platform writes them, and compared without case.
 */
public record HeaderField(CharSequence name, String value) {}
