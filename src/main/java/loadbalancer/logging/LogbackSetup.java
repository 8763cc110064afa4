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
 * Logback behind {@code java.util.logging}, which is where {@code System.Logger} leads. It is put
 * in at run time instead of as a {@code LoggerFinder}, since a finder on the class path is loaded
 * by every process.
 */
final class LogbackSetup {
    private static final String PLAIN = "%level %msg%n%ex";
    private static final String TEXT =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger: " + "%msg%n%ex";

    private LogbackSetup() {}

    static void apply(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        // Levels are handed on, so that a line below them is dropped before it is made.
        LevelChangePropagator propagator = new LevelChangePropagator();
        propagator.setContext(context);
        propagator.setResetJUL(true);
        propagator.start();
        context.addListener(propagator);
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder(settings.format(), context));
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(console);
        root.setLevel(Level.toLevel(settings.level()));
        settings.levels()
                .forEach((name, level) -> context.getLogger(name).setLevel(Level.toLevel(level)));
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
    }

    private static Encoder<ILoggingEvent> encoder(
            LogSettings.Format format, LoggerContext context) {
        if (format == LogSettings.Format.JSON) {
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
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern(format == LogSettings.Format.TEXT ? TEXT : PLAIN);
        text.start();
        return text;
    }

    static void remove() {
        SLF4JBridgeHandler.uninstall();
        ((LoggerContext) LoggerFactory.getILoggerFactory()).reset();
    }
}
