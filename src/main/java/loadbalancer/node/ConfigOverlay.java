package loadbalancer.node;

import java.util.Optional;
import loadbalancer.settings.InvalidInputException;

/**
 * Configuration from elsewhere, such as the control plane, that is laid over the local file's. Used
 * on the event loop only.
 */
public interface ConfigOverlay {
    /** The local file alone. */
    ConfigOverlay NONE =
            new ConfigOverlay() {
                @Override
                public Config atStart(Config file) {
                    return file;
                }

                @Override
                public Config overlay(Config file) {
                    return file;
                }

                @Override
                public Optional<ListSource> listSource() {
                    return Optional.empty();
                }

                @Override
                public void start(ConfigTarget balancer) {}

                @Override
                public void setLeading(boolean leads) {}
            };

    /**
     * The configuration that a start uses. What does not fit the local file is left out, with a
     * warning.
     */
    Config atStart(Config file);

    /**
     * The configuration once the local file was read again.
     *
     * @throws InvalidInputException if any part of it is not valid
     */
    Config overlay(Config file) throws InvalidInputException;

    /** Where the list of upstreams comes from; empty for discovery. */
    Optional<ListSource> listSource();

    /** Starts; changes go to the balancer once this process leads. */
    void start(ConfigTarget balancer);

    /**
     * Whether this process represents its balancer: of two the one that started first, until it
     * stops. Called repeatedly.
     */
    void setLeading(boolean leads);
}
