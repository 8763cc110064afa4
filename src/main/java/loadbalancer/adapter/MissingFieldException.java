package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** Thrown when a required field of an event is missing or has an unknown value. */
final class MissingFieldException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    MissingFieldException(String fieldName) {
        super("field " + fieldName + " is missing or has an unknown value");
    }
}
