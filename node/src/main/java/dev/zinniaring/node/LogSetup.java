package dev.zinniaring.node;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures logging for the process of a node. */
final class LogSetup {
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n%ex{8}";

    private LogSetup() {}

    /** Sends log lines to the standard error stream, in the format given by the settings. */
    static void configure(NodeSettings.Log settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("console");
        appender.setTarget("System.err");
        appender.setEncoder(encoder(context, settings.json()));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        context.getLogger("dev.zinniaring").setLevel(Level.INFO);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, boolean json) {
        if (json) {
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.start();
            return encoder;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }
}
