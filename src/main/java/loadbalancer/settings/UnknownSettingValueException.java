package loadbalancer.settings;

/** Thrown when an enumerated setting has a value that is not one of its known values. */
public final class UnknownSettingValueException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    UnknownSettingValueException(String name, String value) {
        super("setting \"" + name + "\" has the unknown value " + value);
    }
}
