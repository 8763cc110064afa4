package loadbalancer.faults.process.plan;

/** A text that is no plan. */
public final class BadPlan extends Exception {
    private static final long serialVersionUID = 1;

    BadPlan(String what) {
        super(what);
    }
}
