package loadbalancer.faults.control.scale;

/**
 * What the driver asks of a process of hollow subscribers, one name a line; answered by one report
 * each.
 */
enum HollowCommand {
    /** Each subscriber as it is now. */
    STATUS,
    /** The same with the times of the revisions and the heap after a collection. */
    REPORT,
    /** Count bytes, updates and times from nothing. */
    RESET
}
