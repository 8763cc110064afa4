package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** An event lacks a field that its kind needs, or the field has an unknown value. */
final class MissingFieldException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    MissingFieldException(String fieldName) {
        super("field " + fieldName + " is missing or not understood");
    }
}
