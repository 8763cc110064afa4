package loadbalancer.node;

import java.util.Optional;
import loadbalancer.settings.InvalidInputException;

/**
 * A source of configuration, such as the control plane, that takes precedence over the local file.
 * Used on the event loop only.
 */
public interface ConfigOverlay {
    /** An overlay that changes nothing: the local file applies as it is. */
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
                public Optional<SharedState<?>> sharedState() {
                    return Optional.empty();
                }

                @Override
                public void start(ConfigTarget balancer) {}

                @Override
                public void setLeading(boolean leads) {}
            };

    /**
     * Returns the configuration to start with. Parts of the overlay that conflict with the local
     * file are skipped, each with a warning in the log.
     */
    Config atStart(Config file);

    /**
     * Returns the configuration in force after the local file was reloaded.
     *
     * @throws InvalidInputException if any part of the combined configuration is not valid
     */
    Config overlay(Config file) throws InvalidInputException;

    /** Returns the overlay's own source of endpoint lists; empty if discovery provides them. */
    Optional<ListSource> listSource();

    /** Returns what the overlay shares with a sibling process; empty for nothing. */
    Optional<SharedState<?>> sharedState();

    /**
     * Starts to follow changes, and applies them to the balancer once this process leads, see
     * {@link #setLeading}.
     */
    void start(ConfigTarget balancer);

    /**
     * Sets whether this process represents its balancer: of two sibling processes the one that
     * started first does, until it stops. Called repeatedly, also without a change.
     */
    void setLeading(boolean leads);
}
