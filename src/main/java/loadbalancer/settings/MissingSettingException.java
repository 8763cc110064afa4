package loadbalancer.settings;

/** Thrown when settings lack a required field, or have a value of another type in its place. */
public final class MissingSettingException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    MissingSettingException(String path) {
        super("field \"" + path + "\" is missing or has an invalid value");
    }
}
