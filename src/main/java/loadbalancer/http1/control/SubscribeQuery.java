package loadbalancer.http1.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Pattern;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;

/** Parses a {@link SubscribeRequest} from the query of an HTTP request. */
final class SubscribeQuery {
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern ZONE = Pattern.compile("[\\x21-\\x7e]{0,128}");

    private final QueryStringDecoder query;

    private SubscribeQuery(QueryStringDecoder query) {
        this.query = query;
    }

    /**
     * Parses a query.
     *
     * @throws InvalidChangeException if a parameter is invalid; names the parameter and the reason
     */
    static SubscribeRequest read(QueryStringDecoder query) throws InvalidChangeException {
        return new SubscribeQuery(query).read();
    }

    private SubscribeRequest read() throws InvalidChangeException {
        require(
                parameter(ControlProtocol.FOLLOW_PARAMETER, "").equals("1"),
                ControlProtocol.FOLLOW_PARAMETER,
                "expected 1");
        String name = parameter(ControlProtocol.NAME_PARAMETER, "");
        require(
                NAME.matcher(name).matches(),
                ControlProtocol.NAME_PARAMETER,
                "expected 1 to 128 printable characters without spaces");
        String zone = parameter(ControlProtocol.ZONE_PARAMETER, "");
        require(
                ZONE.matcher(zone).matches(),
                ControlProtocol.ZONE_PARAMETER,
                "expected up to 128 printable characters without spaces");
        return new SubscribeRequest(name, zone, scope(), revision(), digest());
    }

    private Scope scope() {
        String services = parameter(ControlProtocol.SERVICES_PARAMETER, "");
        if (services.isEmpty()) {
            return Scope.ALL;
        }
        return new Scope(new HashSet<>(Arrays.asList(services.split(","))));
    }

    private Revision revision() throws InvalidChangeException {
        try {
            return Revision.parse(
                    parameter(ControlProtocol.REVISION_PARAMETER, Revision.NONE.toString()));
        } catch (IllegalArgumentException e) {
            throw invalid(ControlProtocol.REVISION_PARAMETER, "expected a revision like 3.17");
        }
    }

    private Digest digest() throws InvalidChangeException {
        try {
            return Digest.parse(
                    parameter(ControlProtocol.DIGEST_PARAMETER, Digest.EMPTY.toString()));
        } catch (IllegalArgumentException e) {
            throw invalid(ControlProtocol.DIGEST_PARAMETER, "expected hex digits");
        }
    }

    private String parameter(String name, String defaultValue) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? defaultValue : values.get(0);
    }

    private static void require(boolean valid, String parameter, String reason)
            throws InvalidChangeException {
        if (!valid) {
            throw invalid(parameter, reason);
        }
    }

    private static InvalidChangeException invalid(String parameter, String reason) {
        return new InvalidChangeException("parameter " + parameter, reason);
    }
}
