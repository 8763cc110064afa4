package loadbalancer.fleet;

/** What stands in a stored {@link MemberStateFile}; must stay as it is for files to be readable. */
final class MemberStateFieldNames {
    static final String MAGIC_WORD = "yewyoke-fleet";
    static final String FILE_SUFFIX = ".fleet";
    static final int FORMAT_VERSION = 1;

    // Versions of documents, which identify what a document is.
    static final int DURABLE_DOCUMENT = 1;
    static final int RECORD = 2;
    static final int INCARNATION = 3;

    /** Topic of the document that holds the incarnation. */
    static final String INCARNATION_TOPIC = "generation";

    private MemberStateFieldNames() {}
}
