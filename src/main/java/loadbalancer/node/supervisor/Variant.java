package loadbalancer.node.supervisor;

/**
 * A program and an operator file that a balancer can run with. Immutable.
 *
 * @param program name of the program's folder
 * @param operatorFile name of the operator file; empty if there is none
 */
record Variant(String program, String operatorFile) {
    /** Returns the description used in log messages. */
    @Override
    public String toString() {
        return operatorFile.isEmpty() ? program : program + " with " + operatorFile;
    }
}
