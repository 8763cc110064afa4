package loadbalancer.settings;

/** A setting that takes one of a few texts has another one. */
public final class UnknownSettingValueException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    UnknownSettingValueException(String name, String value) {
        super("setting " + name + " has the unknown value " + value);
    }
}
