package heathswitch.proxy.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import heathswitch.proxy.runtime.Log;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;
import org.slf4j.event.KeyValuePair;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Configures Logback to write all log lines to standard error: the balancer's own lines, which
 * {@link Log} limits by kind, and the warnings of libraries. Logback finds this class as its
 * configurator through the service loader, and therefore reads no configuration file.
 */
public final class StructuredLog extends ContextAwareBase implements Configurator {
  static final String OWN_LOGGER = "heathswitch";

  /** Its warnings report every retry; the balancer itself logs those that matter. */
  private static final String RATIS = "org.apache.ratis";

  /** Its warnings are the only report of a torn end of a log file that is truncated. */
  private static final String RATIS_LOG_FILES = "org.apache.ratis.server.raftlog.segmented";

  /** Logs the number of suppressed lines of libraries. */
  private static final String SUPPRESSED_LINES = "heathswitch.libraries";

  private static final String NETTY = "io.netty";

  /**
   * Installs this log for the whole process, including java.util.logging and uncaught exceptions.
   *
   * @param instance the instance name that is written in each JSON line
   */
  public static void install(LogConfig config, String instance) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    configure(context, config, instance);
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
    Logger ownLogger = context.getLogger(OWN_LOGGER);
    Log.setSink(
        (level, kind, message, cause, fields) ->
            write(ownLogger, level, kind, message, cause, fields));
    // The JDK would print an uncaught exception as multiple lines that are not structured.
    Thread.setDefaultUncaughtExceptionHandler(StructuredLog::logUncaught);
  }

  private static void logUncaught(Thread thread, Throwable exception) {
    Log.error("thread", thread.getName() + " ended with an uncaught exception", exception);
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    configure(context, LogConfig.DEFAULT, "");
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static void configure(LoggerContext context, LogConfig config, String instance) {
    context.reset();
    LogLineEncoder encoder = new LogLineEncoder(config.format(), instance);
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget("System.err");
    console.setEncoder(encoder);
    LogRateLimitFilter rateLimitFilter =
        new LogRateLimitFilter(context.getLogger(SUPPRESSED_LINES));
    rateLimitFilter.start();
    console.addFilter(rateLimitFilter);
    console.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(console);
    context.getLogger(OWN_LOGGER).setLevel(Level.toLevel(config.minLevel().name()));
    context.getLogger(RATIS).setLevel(Level.ERROR);
    context.getLogger(RATIS_LOG_FILES).setLevel(Level.WARN);
    context.getLogger(NETTY).setLevel(Level.ERROR);
  }

  private static void write(
      Logger ownLogger,
      java.util.logging.Level level,
      String kind,
      String message,
      Throwable cause,
      String... fields) {
    LoggingEventBuilder event =
        level == java.util.logging.Level.INFO
            ? ownLogger.atInfo()
            : level == java.util.logging.Level.WARNING ? ownLogger.atWarn() : ownLogger.atError();
    event = event.addKeyValue(LogLineEncoder.KIND_FIELD, kind);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      event = event.addKeyValue(fields[i], fields[i + 1]);
    }
    event.setCause(cause).log(message);
  }

  /** Returns whether the field is the kind of the line, which the encoder places separately. */
  static boolean isKind(KeyValuePair pair) {
    return pair.key.equals(LogLineEncoder.KIND_FIELD);
  }
}
