package loadbalancer.node;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.settings.InvalidInputException;

/** Checks a configuration without starting a balancer on it; any thread may call it. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /**
     * The file's main values in one line.
     *
     * @throws InvalidInputException if a start or a reload would not accept the file
     */
    public static String describe(Path file) throws InvalidInputException {
        try {
            Config config = Config.read(file);
            return "listens at "
                    + config.listen()
                    + ", discovery at "
                    + config.discovery()
                    + ", operators at "
                    + config.ops()
                    + "; classes "
                    + String.join(", ", config.facts().classNames())
                    + "; "
                    + config.known().entries().size()
                    + " upstreams known";
        } catch (IOException e) {
            throw new InvalidInputException(
                    e instanceof java.nio.file.NoSuchFileException
                            ? "there is no such file"
                            : e.getMessage().lines().findFirst().orElse(e.toString()));
        }
    }
}
