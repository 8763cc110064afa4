package loadbalancer.control.model;

import java.util.regex.Pattern;

/** Validates the fields of a resource; exceptions name the resource and the field. */
record FieldCheck(ResourceId resource) {
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    /**
     * Creates the check of a resource after validating its service and name.
     *
     * @throws InvalidChangeException if the service or the name is invalid
     */
    static FieldCheck of(ResourceId resource) throws InvalidChangeException {
        FieldCheck check = new FieldCheck(resource);
        check.name(ResourceFieldNames.SERVICE, resource.service());
        check.name(ResourceFieldNames.NAME, resource.name());
        return check;
    }

    void name(String field, String value) throws InvalidChangeException {
        require(
                value != null && NAME.matcher(value).matches(),
                field,
                "expected 1 to 128 printable characters without spaces");
    }

    void address(String field, String value) throws InvalidChangeException {
        boolean isValid = value != null && ADDRESS.matcher(value).matches() && isInRange(value);
        require(isValid, field, "expected an address like 10.0.0.1:8080");
    }

    private static boolean isInRange(String address) {
        String[] parts = address.split("[.:]");
        for (int octet = 0; octet < 4; octet++) {
            if (Integer.parseInt(parts[octet]) > MAX_OCTET) {
                return false;
            }
        }
        int port = Integer.parseInt(parts[4]);
        return port > 0 && port <= MAX_PORT;
    }

    void positive(String field, double value) throws InvalidChangeException {
        require(value > 0 && value < Double.POSITIVE_INFINITY, field, "expected a number above 0");
    }

    void notNegative(String field, double value) throws InvalidChangeException {
        require(
                value >= 0 && value < Double.POSITIVE_INFINITY,
                field,
                "expected a number of 0 or more");
    }

    void require(boolean isValid, String field, String reason) throws InvalidChangeException {
        if (!isValid) {
            throw new InvalidChangeException(resource + " field " + field, reason);
        }
    }
}
