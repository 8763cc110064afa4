package loadbalancer.fleet.codec;

/** Names of a datagram's fields on the wire. They are short, since each datagram contains them. */
final class DatagramFieldNames {
    static final String SENDER = "f";
    static final String BOOT_ID = "b";
    static final String SEQUENCE_NUMBER = "n";
    static final String MESSAGE = "p";
    static final String UPDATES = "r";
    static final String ITEMS = "i";

    private DatagramFieldNames() {}
}
