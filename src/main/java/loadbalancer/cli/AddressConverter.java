package loadbalancer.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts a command-line argument such as {@code 10.0.0.1:9800} to an address. Stateless. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(colon, 0)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException(
                    "expected an address like 10.0.0.1:9800, got " + text);
        }
    }
}
