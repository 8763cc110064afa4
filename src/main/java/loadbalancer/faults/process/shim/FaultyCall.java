package loadbalancer.faults.process.shim;

/** The kinds of system calls that can be made to fail, in the order in which the page has them. */
public enum FaultyCall {
    /** Taking a client in. */
    ACCEPT,
    /** Making a socket. */
    SOCKET,
    /** Beginning a connection. */
    CONNECT,
    /** Reading from a connection that the process opened, which breaks with the errno. */
    READ,
    /** Writing to a connection that the process opened, which breaks with the errno. */
    WRITE,
    /** A read that brings less than there is; no errno. */
    SHORT_READ,
    /** A write that takes less than it could; no errno. */
    SHORT_WRITE,
    /** A wait for events. */
    EPOLL_WAIT,
    /** Writing to a regular file. */
    FILE_WRITE,
    /** Forcing a file to the disk. */
    FSYNC,
    /** Giving a file another name. */
    RENAME
}
