package loadbalancer.node.supervisor;

/**
 * What a balancer can run.
 *
 * @param program name of its folder
 * @param operator name of the operator's file; empty for none
 */
record Variant(String program, String operator) {
    @Override
    public String toString() {
        return operator.isEmpty() ? program : program + " with " + operator;
    }
}
