package loadbalancer.faults.process;

/** Something that the program did and must not do, seen while a plan was being played. */
public final class Broken extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** With what it did, in one line. */
    public Broken(String what) {
        super(what);
    }
}
