package loadbalancer.proxy;

/**
 * A field of a message head.
 *
 * @param name the name in the spelling in which it is forwarded; compared without regard to case
 * @param value the value as received
 */
public record HeaderField(CharSequence name, String value) {}
