package loadbalancer.faults.control;

/** Faults of the simulation; each has an end. */
enum FaultKind {
    /** A subscriber is killed and started again, with or without what it kept. */
    KILL_SUBSCRIBER,
    /** A subscriber stands still for 20 s. */
    STOP_SUBSCRIBER,
    /** A subscriber reads slowly. */
    SLOW_READER,
    /** All subscribers of a zone are killed and started at one moment. */
    KILL_ZONE,
    /** A follower is killed and started again. */
    KILL_FOLLOWER,
    /** A follower stands still for 20 s. */
    STOP_FOLLOWER,
    /** The writer crashes at one of its next steps on disk. */
    CRASH_WRITER,
    /** The writer stands still for 20 s. */
    STOP_WRITER,
    /** The writer's disk is lost, and it is started from a backup under a higher epoch. */
    RESTORE_WRITER,
    /** All control machines are killed and started again. */
    KILL_CONTROL,
    /** Some hosts lose their connections. */
    LOSE_CONNECTIONS,
    /** Nothing passes between some hosts, in one direction or both. */
    SILENCE,
    /** Messages are slow. */
    DELAY
}
