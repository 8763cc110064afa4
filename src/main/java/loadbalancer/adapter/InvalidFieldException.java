package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** Thrown when a field of an event has an invalid value. */
final class InvalidFieldException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    InvalidFieldException(String fieldName, String reason) {
        super("field " + fieldName + " " + reason);
    }
}
