package loadbalancer.faults.control;

/** Hears of bytes that are sent. */
interface ByteCounter {
    /** So many bytes are sent now. */
    void add(long now, int bytes);
}
