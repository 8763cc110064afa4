package loadbalancer.faults.process.shim;

/** Error numbers of Linux on x86-64 and AArch64, from {@code errno(3)}. */
public enum Errno {
    /** No error: for calls that come short. */
    NONE(0),
    /** Interrupted by a signal. */
    EINTR(4),
    /** Input or output error. */
    EIO(5),
    /** Out of memory. */
    ENOMEM(12),
    /** The system has no file descriptor left. */
    ENFILE(23),
    /** The process has no file descriptor left. */
    EMFILE(24),
    /** No space left on the device. */
    ENOSPC(28),
    /** The other side reads no more. */
    EPIPE(32),
    /** No local address or port is free. */
    EADDRNOTAVAIL(99),
    /** No route to the network. */
    ENETUNREACH(101),
    /** The client left the queue. */
    ECONNABORTED(103),
    /** No buffer space. */
    ENOBUFS(105),
    /** The peer has not acknowledged for too long. */
    ETIMEDOUT(110),
    /** No route to the host. */
    EHOSTUNREACH(113);

    final int number;

    Errno(int number) {
        this.number = number;
    }
}
