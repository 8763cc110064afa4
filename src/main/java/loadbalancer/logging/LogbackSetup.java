package loadbalancer.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.jul.LevelChangePropagator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Installs Logback as the backend of {@code java.util.logging}, to which {@code System.Logger}
 * writes. This is done at run time rather than through a {@code LoggerFinder}, which every process
 * would load from the class path. Not thread-safe; {@link #remove} releases the handlers.
 */
final class LogbackSetup {
    private static final String PLAIN_PATTERN = "%level %msg%n%ex";
    private static final String TEXT_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger: %msg%n%ex";

    private LogbackSetup() {}

    /** Replaces the current configuration, if any. */
    static void apply(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        context.addListener(levelPropagator(context));
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(console(settings.format(), context));
        root.setLevel(Level.toLevel(settings.level()));
        settings.levels()
                .forEach((name, level) -> context.getLogger(name).setLevel(Level.toLevel(level)));
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
    }

    /**
     * Creates a listener that copies levels to {@code java.util.logging}, which then drops disabled
     * lines before they are formatted.
     */
    private static LevelChangePropagator levelPropagator(LoggerContext context) {
        LevelChangePropagator propagator = new LevelChangePropagator();
        propagator.setContext(context);
        propagator.setResetJUL(true);
        propagator.start();
        return propagator;
    }

    private static ConsoleAppender<ILoggingEvent> console(
            LogSettings.Format format, LoggerContext context) {
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder(format, context));
        console.start();
        return console;
    }

    private static Encoder<ILoggingEvent> encoder(
            LogSettings.Format format, LoggerContext context) {
        if (format == LogSettings.Format.JSON) {
            return jsonEncoder(context);
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern(format == LogSettings.Format.TEXT ? TEXT_PATTERN : PLAIN_PATTERN);
        text.start();
        return text;
    }

    private static JsonEncoder jsonEncoder(LoggerContext context) {
        JsonEncoder json = new JsonEncoder();
        json.setContext(context);
        json.setWithArguments(false);
        json.setWithContext(false);
        json.setWithSequenceNumber(false);
        json.setWithNanoseconds(false);
        json.setWithMDC(false);
        json.setWithMarkers(false);
        json.setWithMessage(false);
        json.setWithFormattedMessage(true);
        json.start();
        return json;
    }

    /** Uninstalls Logback, which leaves {@code java.util.logging} without a handler. */
    static void remove() {
        SLF4JBridgeHandler.uninstall();
        ((LoggerContext) LoggerFactory.getILoggerFactory()).reset();
    }
}
