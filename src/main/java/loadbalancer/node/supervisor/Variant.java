package loadbalancer.node.supervisor;

/**
 * What a balancer can run. Immutable.
 *
 * @param program name of its folder
 * @param operatorFile name of the operator's file; empty for none
 */
record Variant(String program, String operatorFile) {
    /** For log lines. */
    @Override
    public String toString() {
        return operatorFile.isEmpty() ? program : program + " with " + operatorFile;
    }
}
