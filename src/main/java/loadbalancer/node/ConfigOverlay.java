package loadbalancer.node;

import java.util.Optional;
import loadbalancer.settings.InvalidInputException;

/** Configuration from elsewhere that is laid over that of the local file; on the loop. */
public interface ConfigOverlay {
    /** The local file alone. */
    ConfigOverlay NONE =
            new ConfigOverlay() {
                @Override
                public Config atStart(Config file) {
                    return file;
                }

                @Override
                public Config over(Config file) {
                    return file;
                }

                @Override
                public Optional<ListSource> listSource() {
                    return Optional.empty();
                }

                @Override
                public void begin(ConfigTarget balancer) {}

                @Override
                public void lead(boolean leads) {}
            };

    /**
     * What a start goes by, given the local file. What does not fit the file is left out, with a
     * warning.
     */
    Config atStart(Config file);

    /**
     * The configuration once the local file was read again.
     *
     * @throws InvalidInputException if any part of it is not valid
     */
    Config over(Config file) throws InvalidInputException;

    /** Where the list of upstreams comes from; empty for discovery. */
    Optional<ListSource> listSource();

    /** The balancer is made; it is told of changes once it leads. */
    void begin(ConfigTarget balancer);

    /**
     * Whether this process is the one of its balancer that others know: of two the one that was
     * there first, until it stops. Told again and again.
     */
    void lead(boolean leads);
}
