package loadbalancer.node;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.settings.InvalidInputException;

/** Validates a configuration file without starting a balancer; thread-safe. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /**
     * Returns the file's main values as one line of text.
     *
     * @throws InvalidInputException if the file can't be read or is not a valid configuration
     */
    public static String describe(Path file) throws InvalidInputException {
        try {
            Config config = Config.read(file);
            return "listens on "
                    + config.listen()
                    + ", discovery at "
                    + config.discovery()
                    + ", admin endpoint at "
                    + config.adminAddress()
                    + "; request classes "
                    + String.join(", ", config.facts().classNames())
                    + "; "
                    + config.known().entries().size()
                    + " endpoints in the initial list";
        } catch (IOException e) {
            throw new InvalidInputException(
                    e instanceof java.nio.file.NoSuchFileException
                            ? "there is no such file"
                            : e.getMessage().lines().findFirst().orElse(e.toString()));
        }
    }
}
